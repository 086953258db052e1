package org.acaciacourse.core.speed;

/**
 * A weighted mean whose weights decay exponentially, so that old values count less.
 * Invariant: the weight is never negative.
 * <p>
 * Not thread safe.
 */
final class DecayingMean {

	/** Observations of an endpoint that was slow count for less than a minute. */
	static final long TIME_CONSTANT_NANOS = 20_000_000_000L;

	/** Weights below this one are remains of rounding. */
	private static final double NEGLIGIBLE_WEIGHT = 1e-6;

	private double weight;

	private double sum;

	private long at;

	/**
	 * Return the fraction of a weight that is left after a time.
	 * @param nanos the time
	 * @return the fraction
	 */
	static double decay(long nanos) {
		return (nanos > 0) ? Math.exp(-(double) nanos / TIME_CONSTANT_NANOS) : 1;
	}

	private void advance(long now) {
		if (now - this.at > 0) {
			double left = decay(now - this.at);
			this.weight *= left;
			this.sum *= left;
			this.at = now;
		}
	}

	void add(double value, double valueWeight, long now) {
		if (this.weight == 0) {
			this.at = now;
		}
		advance(now);
		this.weight += valueWeight;
		this.sum += valueWeight * value;
	}

	/**
	 * Remove a value that was added before.
	 * @param value the value
	 * @param valueWeight what is left of its weight now
	 * @param now the time
	 */
	void remove(double value, double valueWeight, long now) {
		advance(now);
		this.weight -= valueWeight;
		this.sum -= valueWeight * value;
		if (this.weight < NEGLIGIBLE_WEIGHT) {
			clear();
		}
	}

	void clear() {
		this.weight = 0;
		this.sum = 0;
	}

	double weight(long now) {
		return this.weight * decay(now - this.at);
	}

	// The mean of the values, 0 without any.
	double mean() {
		return (this.weight > 0) ? this.sum / this.weight : 0;
	}

}
