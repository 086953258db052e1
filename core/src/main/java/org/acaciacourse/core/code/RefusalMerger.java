package org.acaciacourse.core.code;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Bounds the lines that refusals write: the first few of a cause in each second are told
 * one by one, the others by their number and some of their ids. In a burst that is
 * refused, a line each would cost more processor time than the refusals.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class RefusalMerger {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private static final int MAX_IDS = 5;

	private final int maxPerSecond;

	private final Map<ResultCode, SecondCount> counts = new EnumMap<>(ResultCode.class);

	/**
	 * Make a merger.
	 * @param maxPerSecond how many refusals of a cause are told one by one in a second
	 */
	public RefusalMerger(int maxPerSecond) {
		this.maxPerSecond = maxPerSecond;
	}

	/**
	 * Note a refusal.
	 * @param code the cause
	 * @param request the id of the request
	 * @param now the time in nanoseconds
	 * @return whether it is to be told by itself
	 */
	public boolean tell(ResultCode code, String request, long now) {
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
	 * Take out what was merged in seconds that are over.
	 * @param now the time in nanoseconds
	 * @return what is to be told, one for each cause
	 */
	public List<Merged> due(long now) {
		List<Merged> due = new ArrayList<>();
		this.counts.entrySet().removeIf((entry) -> {
			SecondCount count = entry.getValue();
			if (now - count.start < SECOND_NANOS) {
				return false;
			}
			Optional.of(count)
				.filter((c) -> c.merged > 0)
				.ifPresent((c) -> due.add(new Merged(entry.getKey(), c.merged, c.requests)));
			return true;
		});
		return due;
	}

	/**
	 * Refusals of one cause.
	 *
	 * @param code the cause
	 * @param count how many were not told by themselves
	 * @param requests the ids of the first of them
	 */
	public record Merged(ResultCode code, int count, List<String> requests) {

		public Merged {
			requests = List.copyOf(requests);
		}

	}

	/** What was counted in a second. */
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
