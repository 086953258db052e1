package org.acaciacourse.core.admission;

import java.time.Duration;

/**
 * When callers of refused requests are to retry: once the work in front of their rank has
 * drained, and as many per second as the pool serves, the more urgent ones first. Each
 * return books the time that the pool takes for it, as this VM's part of the pool, so
 * that the span over which returns are spread grows with their number.
 * <p>
 * Invariant: booked time is never negative and passes as time does.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
final class ReturnSchedule {

	/** A caller that returned sooner would meet the same queue. */
	static final long MIN_NANOS = 100_000_000L;

	private final double[] booked = new double[RankMix.RANKS + 1];

	private long updatedAt;

	/**
	 * Book a return.
	 * @param position the rank of the request
	 * @param frontNanos nanoseconds until the work in front of it has drained
	 * @param costNanos nanoseconds in which this VM's part of the pool serves the request
	 * @param fraction spreads returns evenly, from 0 to less than 1
	 * @param now the time
	 * @return the delay
	 */
	Duration book(int position, long frontNanos, long costNanos, double fraction, long now) {
		pass(now);
		double before = 0;
		for (int rank = 0; rank <= position; rank++) {
			before += this.booked[rank];
		}
		this.booked[position] += costNanos;
		double span = Math.max(MIN_NANOS, costNanos);
		return Duration.ofNanos(Math.max(MIN_NANOS, frontNanos) + Math.round(before + fraction * span));
	}

	// The more urgent ones return first, so their time passes first.
	private void pass(long now) {
		double elapsed = Math.max(0, now - this.updatedAt);
		this.updatedAt = now;
		for (int rank = 0; rank < this.booked.length && elapsed > 0; rank++) {
			double passed = Math.min(elapsed, this.booked[rank]);
			this.booked[rank] -= passed;
			elapsed -= passed;
		}
	}

}
