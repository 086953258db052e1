package org.acaciacourse.core.balance;

/**
 * The rate at which the engines of a pool prefill prompts, learned from requests that had
 * to wait: the work ahead of each divided by the time to its first event. It includes the
 * effect of more urgent work that arrives later, of full batches and of slow engines.
 * <p>
 * Not thread safe: belongs to one {@link PoolBalancer}.
 */
final class PrefillRate {

	/**
	 * Tokens per millisecond before there are enough observations. Current engines
	 * prefill some 60, half of that with a full batch. With the lower figure, prompts in
	 * the first seconds of a burst would be considered late though they would be on time.
	 */
	private static final double DEFAULT_TOKENS_PER_MILLI = 45;

	/**
	 * Shorter waits depend on the duration of a batch step rather than on the prefill
	 * rate: a step takes some ten milliseconds and prefills a few hundred tokens.
	 */
	private static final long MIN_WORK = 5_000;

	/**
	 * The average covers some ten requests that waited. A VM observes a few per second,
	 * and a burst or the loss of an engine changes the rate immediately.
	 */
	private static final double SMOOTHING_WEIGHT = 0.15;

	/** A single observation changes the estimate by at most this fraction. */
	private static final double MAX_STEP = 0.045;

	/** The estimate stays within this factor of the default rate. */
	private static final double MAX_FACTOR = 4;

	private double tokensPerMilli = DEFAULT_TOKENS_PER_MILLI;

	/**
	 * Record that a prompt was prefilled.
	 * @param workAhead the work that waited when it was sent, including its own
	 * @param elapsed nanoseconds from then to its first event
	 */
	void observe(long workAhead, long elapsed) {
		if (workAhead >= MIN_WORK && elapsed > 0) {
			double observed = workAhead * 1e6 / elapsed;
			double bounded = Math.max(DEFAULT_TOKENS_PER_MILLI / MAX_FACTOR,
					Math.min(DEFAULT_TOKENS_PER_MILLI * MAX_FACTOR, observed));
			double maxStep = MAX_STEP * this.tokensPerMilli;
			double step = SMOOTHING_WEIGHT * (bounded - this.tokensPerMilli);
			this.tokensPerMilli += Math.max(-maxStep, Math.min(maxStep, step));
		}
	}

	/**
	 * Return the estimated time for some work.
	 * @param work the work in prompt tokens
	 * @return nanoseconds
	 */
	long estimateNanos(long work) {
		return (long) (work / this.tokensPerMilli * 1e6);
	}

	/**
	 * Return the rate while it is not certain that what was learned still holds.
	 * @param learnedWeight how much it counts against the default, 0 to 1
	 * @return prompt tokens per millisecond
	 */
	double tokensPerMilli(double learnedWeight) {
		return DEFAULT_TOKENS_PER_MILLI + learnedWeight * (this.tokensPerMilli - DEFAULT_TOKENS_PER_MILLI);
	}

	/**
	 * Return the estimated work that an engine does in some time.
	 * @param nanos the time
	 * @return the work in prompt tokens
	 */
	double workIn(long nanos) {
		return this.tokensPerMilli * nanos / 1e6;
	}

}
