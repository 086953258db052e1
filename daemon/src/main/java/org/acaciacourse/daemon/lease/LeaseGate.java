package org.acaciacourse.daemon.lease;

import java.util.Optional;
import java.util.OptionalLong;

import org.acaciacourse.core.lease.LeaseHolder;
import org.acaciacourse.core.lease.LeaseTiming;

/**
 * The holder's side of a lease, on this VM's monotonic clock. It is checked again by the
 * event loop that is about to send an order, since opening a connection may take a
 * second, longer than the safety margin of the lease.
 * <p>
 * Thread safe.
 */
public final class LeaseGate {

	private final LeaseHolder holder;

	/**
	 * Create a gate for a lease that is not held yet.
	 * @param timing the timing of the lease
	 */
	public LeaseGate(LeaseTiming timing) {
		this.holder = new LeaseHolder(timing);
	}

	/**
	 * Start a request to acquire or renew the lease, if one is due.
	 * @return the number of the request
	 */
	public synchronized OptionalLong requestIfDue() {
		return this.holder.requestIfDue(System.nanoTime());
	}

	/**
	 * Handle a reply that granted or renewed the lease.
	 * @param request the number of the request
	 * @param fencingNumber the fencing number
	 */
	public synchronized void granted(long request, long fencingNumber) {
		this.holder.granted(request, fencingNumber);
	}

	/**
	 * Handle a refused or failed request.
	 * @param request the number of the request
	 * @param lost whether another process is known to hold the lease
	 */
	public synchronized void refused(long request, boolean lost) {
		this.holder.refused(request, lost);
	}

	/**
	 * Return the fencing number to act with.
	 * @return the number, if the lease is held now
	 */
	public synchronized OptionalLong fencingNumber() {
		return this.holder.fencingNumber(System.nanoTime());
	}

	/**
	 * Return whether the lease is held with a fencing number.
	 * @param fencingNumber the number
	 * @return whether this process may act with it now
	 */
	public synchronized boolean holds(long fencingNumber) {
		OptionalLong held = fencingNumber();
		return held.isPresent() && held.getAsLong() == fencingNumber;
	}

	/**
	 * Stop using the lease, before it is released.
	 * @return the fencing number to release it with, if it was held
	 */
	public synchronized Optional<Long> release() {
		return this.holder.release(System.nanoTime());
	}

}
