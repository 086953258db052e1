package org.acaciacourse.core.code;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Limits the log lines of refusals: the first few of each cause in a second are logged
 * individually, the others are summarized by their number and some of their request IDs.
 * When a burst is refused, a line for each would cost more processor time than the
 * refusals.
 * <p>
 * Not thread safe: confined to one event loop.
 */
public final class RefusalLogAggregator {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private static final int MAX_IDS = 5;

	private final int maxPerSecond;

	private final Map<ResultCode, SecondCount> counts = new EnumMap<>(ResultCode.class);

	/**
	 * Create an aggregator.
	 * @param maxPerSecond the maximum number of refusals of a cause that are logged
	 * individually per second
	 */
	public RefusalLogAggregator(int maxPerSecond) {
		this.maxPerSecond = maxPerSecond;
	}

	/**
	 * Record a refusal.
	 * @param code the cause
	 * @param request the ID of the request
	 * @param now the time in nanoseconds
	 * @return whether it is to be logged individually
	 */
	public boolean shouldLog(ResultCode code, String request, long now) {
		SecondCount count = this.counts.computeIfAbsent(code, (c) -> new SecondCount(now));
		if (count.logged < this.maxPerSecond) {
			count.logged++;
			return true;
		}
		count.merged++;
		if (count.requests.size() < MAX_IDS) {
			count.requests.add(request);
		}
		return false;
	}

	/**
	 * Remove and return the summaries of the seconds that have ended.
	 * @param now the time in nanoseconds
	 * @return the summaries to be logged, one for each cause
	 */
	public List<Summary> drainSummaries(long now) {
		List<Summary> due = new ArrayList<>();
		this.counts.entrySet().removeIf((entry) -> {
			SecondCount count = entry.getValue();
			if (now - count.start < SECOND_NANOS) {
				return false;
			}
			Optional.of(count)
				.filter((c) -> c.merged > 0)
				.ifPresent((c) -> due.add(new Summary(entry.getKey(), c.merged, c.requests)));
			return true;
		});
		return due;
	}

	/**
	 * The refusals of one cause that were not logged individually.
	 *
	 * @param code the cause
	 * @param count the number of refusals
	 * @param requestIds the IDs of the first requests
	 */
	public record Summary(ResultCode code, int count, List<String> requestIds) {

		public Summary {
			requestIds = List.copyOf(requestIds);
		}

	}

	/** The refusals of one cause within one second. */
	private static final class SecondCount {

		private final long start;

		private final List<String> requests = new ArrayList<>();

		private int logged;

		private int merged;

		private SecondCount(long since) {
			this.start = since;
		}

	}

}
