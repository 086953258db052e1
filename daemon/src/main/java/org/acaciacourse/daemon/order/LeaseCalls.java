package org.acaciacourse.daemon.order;

import java.util.concurrent.CompletionStage;

import org.acaciacourse.core.state.CommandResult.LeaseResult;

/**
 * Asks the replicated state for the lease of the writer of orders.
 * <p>
 * Thread safe.
 */
public interface LeaseCalls {

	/**
	 * Return whether this VM should ask: only the leader does, so that a lease moves with
	 * the leadership and the others do not fill the log with refusals.
	 * @return whether to ask for the lease
	 */
	boolean isCandidate();

	/**
	 * Acquire or renew the lease.
	 * @param holder who wants it
	 * @param durationMillis how long it is to hold
	 * @return what became of it; fails if that is not known
	 */
	CompletionStage<LeaseResult> acquire(String holder, long durationMillis);

	/**
	 * Give the lease back.
	 * @param holder who holds it
	 * @param fencingNumber its number
	 * @return ends once it is given back
	 */
	CompletionStage<?> release(String holder, long fencingNumber);

}
