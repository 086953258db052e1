package org.acaciacourse.daemon.order;

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
final class LeaseGate {

	private final LeaseHolder holder;

	LeaseGate(LeaseTiming timing) {
		this.holder = new LeaseHolder(timing);
	}

	synchronized OptionalLong requestIfDue() {
		return this.holder.requestIfDue(System.nanoTime());
	}

	synchronized void granted(long request, long fencingNumber) {
		this.holder.granted(request, fencingNumber);
	}

	synchronized void refused(long request, boolean lost) {
		this.holder.refused(request, lost);
	}

	synchronized OptionalLong fencingNumber() {
		return this.holder.fencingNumber(System.nanoTime());
	}

	synchronized boolean holds(long fencingNumber) {
		OptionalLong held = fencingNumber();
		return held.isPresent() && held.getAsLong() == fencingNumber;
	}

	synchronized Optional<Long> release() {
		return this.holder.release(System.nanoTime());
	}

}
