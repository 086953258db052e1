package org.acaciacourse.core.dispatch;

import java.time.Duration;
import java.util.Optional;

import org.acaciacourse.core.code.ResultCode;

/**
 * What a {@link Dispatcher} wants done.
 * <p>
 * Implementations are called on the dispatcher's thread and must not call back into it.
 */
public interface DispatchActions {

	/**
	 * Send a request to an endpoint.
	 * @param attempt the attempt to make
	 */
	void dispatch(Attempt attempt);

	/**
	 * Cancel an attempt at its endpoint. {@link AttemptOutcome#CANCELLED} follows.
	 * @param attemptId the attempt
	 */
	void cancel(long attemptId);

	/**
	 * Give the caller its final answer at once: the request is refused or given up.
	 * @param requestId the request
	 * @param code the reason
	 * @param retryAfter when to come back, if that makes sense
	 */
	void finish(long requestId, ResultCode code, Optional<Duration> retryAfter);

	/**
	 * Tell what the refusal of a request went by whose target is out of reach.
	 * {@link #finish} follows.
	 * @param requestId the request
	 * @param estimate what was known
	 */
	default void unreachable(long requestId, TargetEstimate estimate) {
	}

	/**
	 * Tell all VMs about content that was running on an endpoint that crashed.
	 * @param contentHash the hash of the customer and the content
	 * @param crashes how many crashes it is proven to have caused; 0 clears a suspicion
	 */
	void publishSuspect(long contentHash, int crashes);

	/**
	 * Ask for a call of {@link Dispatcher#tick} at the latest at a time.
	 * @param nanos the time
	 */
	void wakeAt(long nanos);

	/**
	 * An attempt to make.
	 *
	 * @param id the number of the attempt, unique on this VM
	 * @param requestId the request
	 * @param endpoint the name of the endpoint
	 * @param enginePriority the priority for the engine; a smaller number runs first
	 * @param resumeAt how many tokens of the answer the caller has already; the attempt
	 * goes on after them
	 * @param policy the name of the policy that decided
	 */
	record Attempt(long id, long requestId, String endpoint, int enginePriority, int resumeAt, String policy) {
	}

}
