package org.acaciacourse.core.lease;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides whether a process may act under a lease (Gray and Cheriton, "Leases", 1989).
 * All times are nanoseconds of this VM's monotonic clock. The lease time counts from the
 * moment of the request, not of the reply, so that a slow or late reply only shortens it.
 * <p>
 * {@link #fencingNumber(long)} must be called right before each send. After a pause
 * (garbage collection, a suspended VM) the lease may be held by another process, which
 * this process does not notice by itself; the check against the current time detects it.
 * The time between the check and the write to the network is covered by the margin, and
 * beyond that by the fencing number.
 * <p>
 * Invariants: at most one request is outstanding; the lease is used only within the
 * usable time of the latest granted request; the fencing number never decreases.
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
	 * Create a holder that does not hold the lease yet.
	 * @param timing the timing of the lease
	 */
	public LeaseHolder(LeaseTiming timing) {
		this.timing = timing;
	}

	/**
	 * Start a request to acquire or renew the lease, if one is due. A request without a
	 * reply times out after the renewal interval.
	 * @param now the current time
	 * @return the number of the request to send, if one is due
	 */
	public OptionalLong requestIfDue(long now) {
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
	 * Handle a reply that granted or renewed the lease.
	 * @param request the number of the request; a reply to an earlier one is ignored
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
	 * Handle a refused or failed request.
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
	 * Return the fencing number to act with, if this process may act now.
	 * @param now the current time
	 * @return the fencing number, if the lease is held
	 */
	public OptionalLong fencingNumber(long now) {
		return (now < this.usableUntil) ? OptionalLong.of(this.fencingNumber) : OptionalLong.empty();
	}

	/**
	 * Stop using the lease, before it is released. A reply to an outstanding request does
	 * not revive it.
	 * @param now the current time
	 * @return the fencing number to release the lease with, if it was held
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
