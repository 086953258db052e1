package org.acaciacourse.core.balance;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalInt;

/**
 * The part of a retry budget that one entry VM may spend on one pool, over any span of
 * the window's length. All VMs share the budget without a word on the path of a request:
 * each spends the ratio of its own requests and an equal part of the minimum, so that the
 * sum stays within the whole whatever the others do.
 * <p>
 * Requests count in the window before a retry; a margin of a tenth covers that windows of
 * this VM and of whoever counts the arrivals do not begin at the same time.
 * <p>
 * Invariant: the retries in any window are at most what {@link #mayRetry} permitted.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class RetryAllowance {

	private static final double MARGIN = 0.9;

	private final long windowNanos;

	private final double ratio;

	private final double minimum;

	private final Deque<Long> requests = new ArrayDeque<>();

	private final Deque<Long> retries = new ArrayDeque<>();

	private double part;

	/**
	 * Make an allowance.
	 * @param windowNanos the length of the window
	 * @param ratio retries for each request in a window
	 * @param minimum retries that are permitted in a window whatever the requests are, of
	 * all VMs together
	 */
	public RetryAllowance(long windowNanos, double ratio, double minimum) {
		this.windowNanos = (long) (windowNanos * (2 - MARGIN));
		this.ratio = ratio;
		this.minimum = minimum;
	}

	/**
	 * Set how many entry VMs share the budget.
	 * @param count the number of VMs, empty if it is not known
	 */
	public void sharers(OptionalInt count) {
		this.part = (count.isPresent()) ? this.minimum / count.getAsInt() : 0;
	}

	/**
	 * Note a request for the pool.
	 * @param now the time
	 */
	public void request(long now) {
		forget(this.requests, now);
		this.requests.addLast(now);
	}

	/**
	 * Return whether a retry is within the budget.
	 * @param now the time
	 * @return whether one may be spent
	 */
	public boolean mayRetry(long now) {
		return left(now) >= 1;
	}

	/**
	 * Return how many retries the budget permits.
	 * @param now the time
	 * @return the number, of which only whole ones can be spent
	 */
	public double left(long now) {
		return Math.max(0, balance(now));
	}

	/**
	 * Return what is left of the budget.
	 * @param now the time
	 * @return the number of retries, below 0 if more were spent than permitted
	 */
	public double balance(long now) {
		forget(this.requests, now);
		forget(this.retries, now);
		double most = MARGIN * (this.ratio * this.requests.size() + this.part);
		return most - this.retries.size();
	}

	/**
	 * Spend one retry.
	 * @param now the time
	 */
	public void spend(long now) {
		this.retries.addLast(now);
	}

	private void forget(Deque<Long> times, long now) {
		while (!times.isEmpty() && now - times.getFirst() > this.windowNanos) {
			times.removeFirst();
		}
	}

}
