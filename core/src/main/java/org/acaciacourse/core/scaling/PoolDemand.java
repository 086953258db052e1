package org.acaciacourse.core.scaling;

/**
 * What callers asked of a pool within a second.
 * <p>
 * Immutable and thread safe.
 *
 * @param prefillTokens the prompt tokens that were sent to endpoints and not cached there
 * @param outputTokens the events that were forwarded to callers
 * @param begun the requests that were sent to an endpoint for the first time
 * @param refused the requests that were refused for lack of capacity
 * @param late the requests whose answer began after the target of their route
 * @param largestWaitMillis the longest time in milliseconds from a request to the
 * beginning of its answer
 * @param heldTokens the tokens that requests in flight hold at endpoints, beside the
 * cached ones, at the end of the second
 */
public record PoolDemand(long prefillTokens, long outputTokens, long begun, long refused, long late,
		long largestWaitMillis, long heldTokens) {

	/** No demand. */
	public static final PoolDemand NONE = new PoolDemand(0, 0, 0, 0, 0, 0, 0);

	// Bounds what a faulty message can add to a sum.
	private static final long MAX_FIGURE = Long.MAX_VALUE >> 16;

	public PoolDemand {
		prefillTokens = bounded(prefillTokens);
		outputTokens = bounded(outputTokens);
		begun = bounded(begun);
		refused = bounded(refused);
		late = bounded(late);
		largestWaitMillis = bounded(largestWaitMillis);
		heldTokens = bounded(heldTokens);
	}

	private static long bounded(long figure) {
		return Math.max(0, Math.min(figure, MAX_FIGURE));
	}

	/**
	 * Add the demand of other callers in the same second.
	 * @param other the other demand
	 * @return the sum; of the waits, the longer one
	 */
	public PoolDemand plus(PoolDemand other) {
		return new PoolDemand(this.prefillTokens + other.prefillTokens, this.outputTokens + other.outputTokens,
				this.begun + other.begun, this.refused + other.refused, this.late + other.late,
				Math.max(this.largestWaitMillis, other.largestWaitMillis), this.heldTokens + other.heldTokens);
	}

}
