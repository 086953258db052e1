package org.acaciacourse.daemon.lease;

import java.util.concurrent.CompletionStage;

import org.acaciacourse.core.state.CommandResult.LeaseResult;

/**
 * Acquires and releases a lease in the replicated state.
 * <p>
 * Thread safe.
 */
public interface LeaseCalls {

	/**
	 * Return whether this VM should request the lease. Few VMs do at any time, so that
	 * they do not fill the log with refused requests.
	 * @return whether to request the lease
	 */
	boolean isCandidate();

	/**
	 * Acquire or renew the lease.
	 * @param holder the holder to be
	 * @param durationMillis the duration of the lease in milliseconds
	 * @return the result; fails if the outcome is unknown
	 */
	CompletionStage<LeaseResult> acquire(String holder, long durationMillis);

	/**
	 * Release the lease.
	 * @param holder the current holder
	 * @param fencingNumber the fencing number of the lease
	 * @return completes once the lease is released
	 */
	CompletionStage<?> release(String holder, long fencingNumber);

}
