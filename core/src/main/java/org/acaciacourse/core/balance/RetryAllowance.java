package org.acaciacourse.core.balance;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalInt;

/**
 * The share of a retry budget that one process may spend on one pool. All entry VMs share
 * the budget without coordination on the request path, so the shares must add up to no
 * more than the budget for any number of processes, whenever they start and end and
 * wherever the callers go.
 * <p>
 * Invariant: in any time span of the window's length the retries are at most what the
 * requests of that same span earn, plus a burst, which is this VM's share of the minimum.
 * Requests of an earlier span earn nothing: the callers may have moved to another VM,
 * which earns from them as well. A process that started within the window has no burst,
 * as its predecessor on this VM may have spent it. A margin of a tenth allows for
 * requests and retries in transit at the edges of a span, as seen by an observer of all
 * VMs.
 * <p>
 * A retry counts at the time when it reaches its endpoint. Until that is confirmed it
 * counts in each span, as an endpoint that stalls may read it at any time. A request
 * earns in the span in which its caller sent it. One that may have been sent well before
 * it was read earns nothing.
 * <p>
 * The sum over all VMs is within the budget as long as there are no more VMs than the
 * minimum has retries: a burst is never less than one retry.
 * <p>
 * Not thread safe: belongs to one event loop. Times never go back.
 */
public final class RetryAllowance {

	/** The fraction of the budget that is used. */
	private static final double MARGIN = 0.9;

	/** With less than one no retry would ever be permitted. */
	private static final double MIN_BURST = 1;

	private final long startedAt;

	private final long windowNanos;

	private final double earnedPerRequest;

	private final double minimum;

	/** The debt just before each event in the window, in ascending order of debt. */
	private final Deque<Mark> marks = new ArrayDeque<>();

	private double burst = MIN_BURST;

	/** The retries since the start minus what all requests since then earned. */
	private double debt;

	private int reserved;

	/** Retries that were sent and may not have reached their endpoint. */
	private int inTransit;

	/**
	 * Make an allowance.
	 * @param startedAt when the process started
	 * @param windowNanos the length of the window
	 * @param ratio retries for each request in a window
	 * @param minimum retries that are permitted in a window whatever the requests are,
	 * for all VMs together
	 */
	public RetryAllowance(long startedAt, long windowNanos, double ratio, double minimum) {
		this.startedAt = startedAt;
		this.windowNanos = (long) (windowNanos * (2 - MARGIN));
		this.earnedPerRequest = MARGIN * ratio;
		this.minimum = minimum;
	}

	/**
	 * Set how many entry VMs share the budget.
	 * @param count the number of VMs, empty if unknown
	 */
	public void sharers(OptionalInt count) {
		this.burst = (count.isPresent()) ? Math.max(MIN_BURST, MARGIN * this.minimum / count.getAsInt()) : MIN_BURST;
	}

	/**
	 * Record a request for the pool that was sent just before. One that may have been
	 * sent well before must not be recorded, as it belongs to an earlier span.
	 * @param now the time
	 */
	public void request(long now) {
		add(-this.earnedPerRequest, now);
	}

	/**
	 * Return whether there is a retry in the budget that is not reserved.
	 * @param now the time
	 * @return whether one may be reserved
	 */
	public boolean mayRetry(long now) {
		return left(now) >= 1;
	}

	/**
	 * Return how many retries the budget permits besides the reserved ones.
	 * @param now the time
	 * @return the number, of which only whole ones can be spent
	 */
	public double left(long now) {
		return Math.max(0, balance(now) - this.reserved);
	}

	/**
	 * Return what is left of the budget.
	 * @param now the time
	 * @return the number of retries, including reserved ones
	 */
	public double balance(long now) {
		expire(now);
		double lowest = (this.marks.isEmpty()) ? this.debt : Math.min(this.debt, this.marks.getFirst().debt());
		double inWindow = this.burst - (this.debt - lowest);
		boolean young = now - this.startedAt <= this.windowNanos;
		return ((young) ? Math.min(inWindow, -this.debt) : inWindow) - this.inTransit;
	}

	/**
	 * Reserve a retry for a request that waits or connects, so that no other one relies
	 * on it. Each reservation is either sent or released.
	 * @param now the time
	 * @return whether the budget permits it
	 */
	public boolean reserve(long now) {
		boolean permitted = mayRetry(now);
		this.reserved += (permitted) ? 1 : 0;
		return permitted;
	}

	/** Release a reservation when the request is not sent again. */
	public void release() {
		this.reserved--;
	}

	/**
	 * Spend a reserved retry on a request that is sent now. The share of this VM may have
	 * shrunk since the reservation. Each retry that is permitted must be followed by one
	 * call of {@link #arrived}.
	 * @param now the time
	 * @return whether the budget still permits it; if not, the reservation is released
	 */
	public boolean send(long now) {
		release();
		boolean permitted = balance(now) >= 1;
		this.inTransit += (permitted) ? 1 : 0;
		return permitted;
	}

	/**
	 * Record that a retry has reached its endpoint, or never will.
	 * @param now the time
	 */
	public void arrived(long now) {
		this.inTransit--;
		add(1, now);
	}

	// Of two marks the later one with the lower debt is the stricter bound and expires
	// later, so the earlier one is not needed.
	private void add(double change, long now) {
		expire(now);
		while (!this.marks.isEmpty() && this.marks.getLast().debt() >= this.debt) {
			this.marks.removeLast();
		}
		this.marks.addLast(new Mark(now, this.debt));
		this.debt += change;
	}

	private void expire(long now) {
		while (!this.marks.isEmpty() && now - this.marks.getFirst().at() > this.windowNanos) {
			this.marks.removeFirst();
		}
	}

	/**
	 * The debt just before an event.
	 *
	 * @param at the time of the event
	 * @param debt the debt up to it
	 */
	private record Mark(long at, double debt) {
	}

}
