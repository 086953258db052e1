package org.acaciacourse.daemon.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The time without progress after which an endpoint is queried for the status of a
 * request. The timeout is estimated per endpoint set from the mean and the mean deviation
 * of the longest gap within a response, like the retransmission timeout of TCP (Jacobson,
 * 1988). A fixed timeout would either be too long for a fast engine or cause constant
 * queries to a slow one.
 * <p>
 * Thread safe. Updated once per response, not per token.
 */
final class StallTimeouts {

	private static final long MIN_NANOS = 500_000_000L;

	private static final long MAX_NANOS = 10_000_000_000L;

	private static final long INITIAL_NANOS = 3_000_000_000L;

	private final Map<String, GapStatistics> gaps = new ConcurrentHashMap<>();

	/**
	 * Return the longest time allowed between two tokens.
	 * @param endpointSet the name of the endpoint set
	 * @return the timeout in nanoseconds
	 */
	long timeoutNanos(String endpointSet) {
		GapStatistics gap = this.gaps.get(endpointSet);
		return (gap != null) ? Math.max(MIN_NANOS, Math.min(MAX_NANOS, (long) (4 * (gap.mean + 4 * gap.deviation))))
				: INITIAL_NANOS;
	}

	/**
	 * Update the estimate with a complete response.
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
