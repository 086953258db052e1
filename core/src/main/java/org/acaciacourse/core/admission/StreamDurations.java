package org.acaciacourse.core.admission;

/**
 * How long streams last from their first event to their end. Counts as nothing while
 * unknown.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
final class StreamDurations {

	/** The average covers some ten streams. */
	private static final double SMOOTHING_WEIGHT = 0.15;

	private final Freshness freshness = new Freshness();

	private double nanosPerToken;

	private double nanosPerStream;

	/**
	 * Record a complete stream.
	 * @param outputTokens the maximum number of its tokens, 0 if unknown
	 * @param nanos nanoseconds from its first event to its end
	 * @param now the time
	 */
	void observe(long outputTokens, long nanos, long now) {
		double weight = (this.freshness.weight(now) > 0) ? SMOOTHING_WEIGHT : 1;
		this.nanosPerStream += weight * (nanos - this.nanosPerStream);
		if (outputTokens > 0) {
			this.nanosPerToken += weight * ((double) nanos / outputTokens - this.nanosPerToken);
		}
		this.freshness.observed(now);
	}

	/**
	 * Return the time from the first event of a stream to its end.
	 * @param outputTokens the maximum number of its tokens, 0 if unknown
	 * @param now the time
	 * @return nanoseconds
	 */
	long estimate(long outputTokens, long now) {
		double nanos = (outputTokens > 0) ? outputTokens * this.nanosPerToken : this.nanosPerStream;
		return (long) (nanos * this.freshness.weight(now));
	}

	/**
	 * Return how long a stream holds its slot from its first event on.
	 * @param now the time
	 * @return nanoseconds
	 */
	long mean(long now) {
		return (long) (this.nanosPerStream * this.freshness.weight(now));
	}

}
