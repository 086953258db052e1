package org.acaciacourse.core.admission;

import java.time.Duration;

/**
 * Which part of the waiting work is of which rank. Entry VMs tell each other how much
 * work waits at an endpoint and not of which rank it is. Requests are spread over the
 * VMs, so that the mix of this VM's waiting work over the last seconds stands for that of
 * all. Work counts for as long as it waits.
 * <p>
 * Invariant: waiting work never falls below 0.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
final class RankMix {

	/** The number of ranks that endpoints distinguish. */
	static final int RANKS = 10;

	/** The position behind all ranks, of requests that are deferred. */
	static final int DEFERRED = RANKS;

	private static final double DECAY_NANOS = Duration.ofSeconds(3).toNanos();

	private final long[] waiting = new long[RANKS + 1];

	/** Work times the seconds that it waited; older seconds count less. */
	private final double[] waited = new double[RANKS + 1];

	private boolean started;

	private long updatedAt;

	void begin(int position, long work, long now) {
		update(now);
		this.waiting[position] += work;
	}

	void done(int position, long work, long now) {
		update(now);
		this.waiting[position] = Math.max(0, this.waiting[position] - work);
	}

	/**
	 * Return which part of the waiting work that isn't deferred is served before a new
	 * request.
	 * @param position the rank of the request
	 * @param now the time
	 * @return the part, 1 if it is not known
	 */
	double partAhead(int position, long now) {
		update(now);
		double ahead = 0;
		double all = 0;
		for (int rank = 0; rank < RANKS; rank++) {
			all += this.waited[rank];
			ahead += (rank <= position) ? this.waited[rank] : 0;
		}
		return (all > 0) ? ahead / all : 1;
	}

	// Waiting work of this VM at all endpoints, without deferred requests.
	long waitingWork() {
		long sum = 0;
		for (int rank = 0; rank < RANKS; rank++) {
			sum += this.waiting[rank];
		}
		return sum;
	}

	// Waiting work of this VM's deferred requests at all endpoints.
	long deferredWork() {
		return this.waiting[DEFERRED];
	}

	private void update(long now) {
		if (!this.started) {
			this.started = true;
			this.updatedAt = now;
		}
		double elapsed = Math.max(0, now - this.updatedAt);
		if (elapsed == 0) {
			return;
		}
		this.updatedAt = now;
		double kept = Math.exp(-elapsed / DECAY_NANOS);
		for (int position = 0; position <= DEFERRED; position++) {
			this.waited[position] = this.waited[position] * kept + this.waiting[position] * elapsed / 1e9;
		}
	}

}
