package org.acaciacourse.core.balance;

/**
 * How fast the engines of a pool read what waits there, learnt from the requests that had
 * to wait: the work ahead of each by the time to its first event. More urgent work that
 * comes later, full batches and slow engines all show in it.
 * <p>
 * Not thread safe: belongs to one {@link PoolBalancer}.
 */
final class PrefillRate {

	/**
	 * Tokens in a millisecond, until enough was seen: engines of today read some 60, half
	 * of that in a full batch. With the lower end prompts of the first seconds of a burst
	 * are taken for late that would be in time.
	 */
	private static final double DEFAULT_TOKENS_PER_MILLI = 45;

	/**
	 * Shorter waits tell of the steps of the batch, not of reading: a step takes some ten
	 * milliseconds and reads a few hundred tokens.
	 */
	private static final long MIN_WORK = 5_000;

	/**
	 * Some ten requests that waited make the estimate. A VM sees a few in a second, and a
	 * burst, or the loss of an engine, changes the pace at once.
	 */
	private static final double SMOOTHING_WEIGHT = 0.15;

	/** One wait can't move the estimate by more than this part of it. */
	private static final double MAX_STEP = 0.045;

	/** The estimate stays within this factor of the usual pace. */
	private static final double MAX_FACTOR = 4;

	private double tokensPerMilli = DEFAULT_TOKENS_PER_MILLI;

	/**
	 * A prompt was read.
	 * @param workAhead the work that waited when it was sent, with its own
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
	 * Return how long work takes.
	 * @param work the work in prompt tokens
	 * @return nanoseconds
	 */
	long estimateNanos(long work) {
		return (long) (work / this.tokensPerMilli * 1e6);
	}

}
