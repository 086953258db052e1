package org.acaciacourse.core.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts by customer and window the requests of one entry VM that endpoints have begun,
 * and tells a control VM what it does not know yet. Counts only grow and are told as they
 * are, not by how much they have grown, so that a message that comes twice or late
 * changes nothing.
 * <p>
 * Invariant: at most {@value #MAX_WINDOWS} windows are kept.
 * <p>
 * Thread safe.
 */
public final class UsageCounter {

	/** Two minutes of windows of five seconds. */
	static final int MAX_WINDOWS = 24;

	private final TreeMap<Long, Map<String, Count>> windows = new TreeMap<>();

	private long changes;

	private long frozenThrough;

	private long requests;

	private long lateRequests;

	/**
	 * Count a request that an endpoint has begun.
	 * @param customer the customer
	 * @param window the window in which it began
	 */
	public synchronized void count(String customer, long window) {
		this.requests++;
		if (window <= this.frozenThrough) {
			this.lateRequests++;
			return;
		}
		this.changes++;
		Map<String, Count> counts = this.windows.computeIfAbsent(window, (number) -> new HashMap<>());
		counts.merge(customer, new Count(1, this.changes),
				(old, one) -> new Count(old.requests() + 1, one.changedAt()));
		if (this.windows.size() > MAX_WINDOWS) {
			this.windows.pollFirstEntry();
		}
	}

	/**
	 * Forget the windows that are fixed: what is counted in them from now on comes too
	 * late.
	 * @param window the latest window that is fixed
	 */
	public synchronized void frozen(long window) {
		this.frozenThrough = Math.max(this.frozenThrough, window);
		this.windows.headMap(this.frozenThrough, true).clear();
	}

	/**
	 * Return the counts that have changed.
	 * @param since the {@link Changes#position()} that the receiver has, 0 for all counts
	 * @return the changes
	 */
	public synchronized Changes changesSince(long since) {
		List<UsageReport> changed = new ArrayList<>();
		this.windows.forEach((window, counts) -> {
			Map<String, Long> requests = new HashMap<>();
			counts.forEach((customer, count) -> {
				if (count.changedAt() > since) {
					requests.put(customer, count.requests());
				}
			});
			if (!requests.isEmpty()) {
				changed.add(new UsageReport(window, requests));
			}
		});
		return new Changes(this.changes, changed);
	}

	/**
	 * Return how many requests were counted.
	 * @return the number since the start
	 */
	public synchronized long requests() {
		return this.requests;
	}

	/**
	 * Return how many requests began in a window that was fixed before they were counted.
	 * @return the number since the start
	 */
	public synchronized long lateRequests() {
		return this.lateRequests;
	}

	/**
	 * Counts that have changed.
	 *
	 * @param position the position after these changes
	 * @param windows the new counts by window
	 */
	public record Changes(long position, List<UsageReport> windows) {

		public Changes {
			windows = List.copyOf(windows);
		}

	}

	private record Count(long requests, long changedAt) {
	}

}
