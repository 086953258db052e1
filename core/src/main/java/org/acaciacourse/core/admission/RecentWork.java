package org.acaciacourse.core.admission;

/**
 * The rate at which this VM sends work to endpoints, averaged over a time. Requests are
 * spread over the entry VMs, so that each of the others is taken to send as much.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
final class RecentWork {

	private final double averageNanos;

	private double recentWork;

	private long updatedAt;

	/**
	 * Create an average without any work.
	 * @param averageNanos the time constant, in nanoseconds
	 */
	RecentWork(double averageNanos) {
		this.averageNanos = averageNanos;
	}

	void begin(long work, long now) {
		this.recentWork = recentWork(now) + work;
		this.updatedAt = now;
	}

	private double recentWork(long now) {
		return this.recentWork * Math.exp(-Math.max(0, now - this.updatedAt) / this.averageNanos);
	}

	// Prompt tokens per nanosecond.
	double rate(long now) {
		return recentWork(now) / this.averageNanos;
	}

}
