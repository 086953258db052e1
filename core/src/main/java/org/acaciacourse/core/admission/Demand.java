package org.acaciacourse.core.admission;

/**
 * What a request that is about to be placed asks of an endpoint.
 * <p>
 * Immutable and thread safe.
 *
 * @param rank its rank at engines, 0 is the highest
 * @param stream whether it is answered with a stream of events
 * @param deferrable whether it may be served behind all other requests
 * @param outputTokens the maximum number of tokens of the answer, 0 if unknown
 * @param targetNanos nanoseconds until its answer is due to begin
 * @param remainingNanos nanoseconds that its caller still waits
 * @param hash a hash of the request, which spreads returns
 */
public record Demand(int rank, boolean stream, boolean deferrable, long outputTokens, long targetNanos,
		long remainingNanos, long hash) {

	public Demand {
		rank = Math.max(0, Math.min(RankMix.RANKS - 1, rank));
	}

	/**
	 * Return the position of the request in the queue of an engine.
	 * @param deferred whether it is deferred
	 * @return the rank, or the position behind all ranks
	 */
	int position(boolean deferred) {
		return (deferred) ? RankMix.DEFERRED : this.rank;
	}

	// The fraction of a span at which the request returns, 0 to less than 1.
	double fraction() {
		return (this.hash >>> 11) * 0x1.0p-53;
	}

}
