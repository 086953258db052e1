package org.acaciacourse.daemon.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * How long an endpoint may make no progress before it is asked about the request, learnt
 * from its peers: the mean and the mean deviation of the longest gap within an answer, as
 * the retransmission timer of TCP is learnt (Jacobson, 1988). A fixed bound would either
 * be too long for a fast engine or ask a slow one all the time.
 * <p>
 * Thread safe. It learns once for each answer, not for each token.
 */
final class StallTimeouts {

	private static final long MIN_NANOS = 500_000_000L;

	private static final long MAX_NANOS = 10_000_000_000L;

	private static final long INITIAL_NANOS = 3_000_000_000L;

	private final Map<String, GapStatistics> gaps = new ConcurrentHashMap<>();

	/**
	 * Return the bound between two tokens.
	 * @param endpointSet the name of the endpoint set
	 * @return the bound in nanoseconds
	 */
	long timeoutNanos(String endpointSet) {
		GapStatistics gap = this.gaps.get(endpointSet);
		return (gap != null) ? Math.max(MIN_NANOS, Math.min(MAX_NANOS, (long) (4 * (gap.mean + 4 * gap.deviation))))
				: INITIAL_NANOS;
	}

	/**
	 * Learn from a whole answer.
	 * @param endpointSet the name of the endpoint set
	 * @param longestGap the longest time between two tokens in nanoseconds
	 */
	void recordLongestGap(String endpointSet, long longestGap) {
		this.gaps.merge(endpointSet, new GapStatistics(longestGap, longestGap / 2.0), GapStatistics::update);
	}

	private record GapStatistics(double mean, double deviation) {

		private GapStatistics update(GapStatistics sample) {
			double error = sample.mean - this.mean;
			return new GapStatistics(this.mean + error / 8, this.deviation + (Math.abs(error) - this.deviation) / 4);
		}

	}

}
