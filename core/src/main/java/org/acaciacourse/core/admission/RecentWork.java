package org.acaciacourse.core.admission;

import org.acaciacourse.core.measure.DecayingSum;

/**
 * The rate at which this VM sends work to endpoints, averaged over a time. Requests are
 * spread over the entry VMs, so that each of the others is taken to send as much.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
final class RecentWork {

	private final double averageNanos;

	private final DecayingSum work;

	/**
	 * Create an average without any work.
	 * @param averageNanos the time constant, in nanoseconds
	 */
	RecentWork(double averageNanos) {
		this.averageNanos = averageNanos;
		this.work = new DecayingSum(averageNanos);
	}

	void begin(long tokens, long now) {
		this.work.add(tokens, now);
	}

	// Prompt tokens per nanosecond.
	double rate(long now) {
		return this.work.at(now) / this.averageNanos;
	}

}
