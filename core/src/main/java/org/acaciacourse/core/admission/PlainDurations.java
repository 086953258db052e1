package org.acaciacourse.core.admission;

import java.util.OptionalLong;

/**
 * How long endpoints take for plain answers, without the time that requests wait there.
 * Unknown before the first observation and {@link Freshness#VALIDITY_NANOS} after the
 * last.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
final class PlainDurations {

	/** The average covers some ten answers. */
	private static final double SMOOTHING_WEIGHT = 0.15;

	private final Freshness freshness = new Freshness();

	private double nanos;

	/**
	 * Record an answer.
	 * @param rounds how many times a request has to wait for a slot to become free,
	 * itself included; not a whole number
	 * @param elapsed nanoseconds until the answer was complete
	 * @param now the time
	 */
	void observe(double rounds, long elapsed, long now) {
		double duration = elapsed / rounds;
		this.nanos = (this.freshness.weight(now) > 0) ? this.nanos + SMOOTHING_WEIGHT * (duration - this.nanos)
				: duration;
		this.freshness.observed(now);
	}

	/**
	 * Return the time that one request holds a slot.
	 * @param now the time
	 * @return nanoseconds, empty if unknown
	 */
	OptionalLong estimate(long now) {
		return (this.freshness.weight(now) > 0) ? OptionalLong.of((long) this.nanos) : OptionalLong.empty();
	}

	/**
	 * Return how many requests a new one at an endpoint takes the time of.
	 * @param running the requests there
	 * @param slots its slots
	 * @return the number, 1 while a slot is free
	 */
	static double rounds(int running, int slots) {
		return 1 + (double) Math.max(0, running + 1 - slots) / slots;
	}

}
