package org.acaciacourse.core.lease;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides whether a process may act under a lease (Gray and Cheriton, "Leases", 1989).
 * Time is this VM's monotonic clock. The lease counts from the moment at which it was
 * asked for, not from the answer, so that a slow or late answer only shortens it.
 * <p>
 * {@link #fencingNumber(long)} is asked right before each send. A process that was frozen
 * (garbage collection, a paused VM) wakes with the lease held elsewhere and does not
 * notice by itself; the check with the time of now does. What passes between the check
 * and the network is covered by the margin, and beyond that by the fencing number.
 * <p>
 * Invariants: at most one request is outstanding; it acts only before the usable time of
 * the latest granted request has passed; its fencing number never falls.
 * <p>
 * Not thread safe: one thread calls it.
 */
public final class LeaseHolder {

	private final LeaseTiming timing;

	private long requestNumber;

	private boolean requestOutstanding;

	private long requestedAt;

	private long nextRequestAt = Long.MIN_VALUE;

	private long fencingNumber;

	private long usableUntil = Long.MIN_VALUE;

	/**
	 * Make a holder that holds nothing yet.
	 * @param timing the times of the lease
	 */
	public LeaseHolder(LeaseTiming timing) {
		this.timing = timing;
	}

	/**
	 * Return whether the lease is to be asked for now, as a first time or as a renewal. A
	 * request without an answer is given up after the time between renewals.
	 * @param now the time
	 * @return the number of the request to send, if one is due
	 */
	public OptionalLong request(long now) {
		boolean timedOut = this.requestOutstanding && now - this.requestedAt >= this.timing.renewIntervalNanos();
		if ((this.requestOutstanding && !timedOut) || now < this.nextRequestAt) {
			return OptionalLong.empty();
		}
		this.requestNumber++;
		this.requestOutstanding = true;
		this.requestedAt = now;
		this.nextRequestAt = now + this.timing.renewIntervalNanos();
		return OptionalLong.of(this.requestNumber);
	}

	/**
	 * The lease was granted or renewed.
	 * @param request the number of the request; an answer to an earlier one is ignored
	 * @param grantedNumber the fencing number
	 */
	public void granted(long request, long grantedNumber) {
		if (!this.requestOutstanding || request != this.requestNumber || grantedNumber < this.fencingNumber) {
			return;
		}
		this.requestOutstanding = false;
		this.fencingNumber = grantedNumber;
		this.usableUntil = this.requestedAt + this.timing.usableNanos();
	}

	/**
	 * The lease is held by another process, or the request failed.
	 * @param request the number of the request
	 * @param heldElsewhere whether another process is known to hold the lease
	 */
	public void refused(long request, boolean heldElsewhere) {
		if (!this.requestOutstanding || request != this.requestNumber) {
			return;
		}
		this.requestOutstanding = false;
		if (heldElsewhere) {
			invalidate();
		}
	}

	/**
	 * Return whether this process may act now, and with which number.
	 * @param now the time
	 * @return the fencing number, if the lease holds
	 */
	public OptionalLong fencingNumber(long now) {
		return (now < this.usableUntil) ? OptionalLong.of(this.fencingNumber) : OptionalLong.empty();
	}

	/**
	 * Stop acting, before the lease is given back. An answer that is still under way does
	 * not revive it.
	 * @param now the time
	 * @return the fencing number to give back, if the lease was held
	 */
	public Optional<Long> release(long now) {
		OptionalLong held = fencingNumber(now);
		this.requestOutstanding = false;
		invalidate();
		return (held.isPresent()) ? Optional.of(held.getAsLong()) : Optional.empty();
	}

	private void invalidate() {
		this.usableUntil = Long.MIN_VALUE;
	}

}
