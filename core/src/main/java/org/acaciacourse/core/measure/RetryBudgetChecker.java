package org.acaciacourse.core.measure;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

/**
 * Checks the requests and retries of a whole system, as seen by an observer, against a
 * retry budget in every window that starts with a retry. The requests that count are
 * those of the window itself, of the one before it, or of the one that starts half a
 * window earlier, whichever has the most.
 * <p>
 * Not thread safe.
 */
public final class RetryBudgetChecker {

	private final long windowNanos;

	private final double ratio;

	private final double minimum;

	private final List<Long> requests = new ArrayList<>();

	private final List<Long> retries = new ArrayList<>();

	/**
	 * Create a checker without requests.
	 * @param windowNanos the length of a window
	 * @param ratio the retries allowed per request
	 * @param minimum the retries allowed regardless of the number of requests
	 */
	public RetryBudgetChecker(long windowNanos, double ratio, double minimum) {
		this.windowNanos = windowNanos;
		this.ratio = ratio;
		this.minimum = minimum;
	}

	/**
	 * Record a request of a caller.
	 * @param at the time when it was sent, in nanoseconds
	 */
	public void addRequest(long at) {
		this.requests.add(at);
	}

	/**
	 * Record an arrival at an endpoint after the first one of the same request.
	 * @param at the time when it arrived, in nanoseconds
	 */
	public void addRetry(long at) {
		this.retries.add(at);
	}

	/**
	 * Return the number of retries.
	 * @return the number recorded so far
	 */
	public int retryCount() {
		return this.retries.size();
	}

	/**
	 * Return the first window with more retries than the budget allows.
	 * @return a description of the window, empty if there is none
	 */
	public Optional<String> findViolation() {
		Collections.sort(this.requests);
		Collections.sort(this.retries);
		return this.retries.stream().distinct().flatMap((from) -> violationFrom(from).stream()).findFirst();
	}

	/**
	 * Return the highest share of the budget that the retries of one window used.
	 * @return the share, above 1 if a window has more retries than the budget allows
	 */
	public double highestUse() {
		Collections.sort(this.requests);
		Collections.sort(this.retries);
		return this.retries.stream().distinct().mapToDouble((from) -> windowFrom(from).use()).max().orElse(0);
	}

	private Optional<String> violationFrom(long from) {
		Window window = windowFrom(from);
		return (window.use() > 1)
				? Optional.of("%d retries for %d requests in the window from %d ms, allowed %.1f"
					.formatted(window.retries(), window.requests(), from / 1_000_000, window.allowed()))
				: Optional.empty();
	}

	private Window windowFrom(long from) {
		int counted = Math.max(requestsFrom(from),
				Math.max(requestsFrom(from - this.windowNanos / 2), requestsFrom(from - this.windowNanos)));
		return new Window(count(this.retries, from, from + this.windowNanos), counted,
				this.ratio * counted + this.minimum);
	}

	private int requestsFrom(long from) {
		return count(this.requests, from, from + this.windowNanos);
	}

	private static int count(List<Long> times, long from, long to) {
		return countUpTo(times, to) - countUpTo(times, from - 1);
	}

	private static int countUpTo(List<Long> times, long bound) {
		int low = 0;
		int high = times.size();
		while (low < high) {
			int middle = (low + high) / 2;
			if (times.get(middle) <= bound) {
				low = middle + 1;
			}
			else {
				high = middle;
			}
		}
		return low;
	}

	/**
	 * One window.
	 *
	 * @param retries the retries in it
	 * @param requests the requests that count for it
	 * @param allowed the retries that the budget allows
	 */
	private record Window(int retries, int requests, double allowed) {

		private double use() {
			return this.retries / this.allowed;
		}

	}

}
