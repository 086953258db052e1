package org.acaciacourse.daemon.duty;

import org.acaciacourse.daemon.lease.LeaseCalls;

/**
 * Acquires and releases the lease of a duty, which any control VM may hold.
 * <p>
 * Thread safe.
 */
public interface DutyLeaseCalls extends LeaseCalls {

	/**
	 * Leave the lease to other VMs.
	 * @param nanos for how long, in nanoseconds
	 */
	void abstain(long nanos);

}
