package org.acaciacourse.core.dispatch;

import java.time.Duration;
import java.util.Optional;

import org.acaciacourse.core.code.ResultCode;

/**
 * The actions that a {@link Dispatcher} requests from its environment.
 * <p>
 * Implementations are called on the dispatcher's thread and must not call back into it.
 */
public interface DispatchActions {

	/**
	 * Send a request to an endpoint.
	 * @param attempt the attempt to start
	 */
	void dispatch(Attempt attempt);

	/**
	 * Cancel an attempt at its endpoint. The dispatcher expects
	 * {@link AttemptOutcome#CANCELLED} for it afterwards.
	 * @param attemptId the id of the attempt
	 */
	void cancel(long attemptId);

	/**
	 * Send the caller its final response: the request is refused or has failed.
	 * @param requestId the id of the request
	 * @param code the reason
	 * @param retryAfter when to retry, empty if a retry is pointless
	 */
	void finish(long requestId, ResultCode code, Optional<Duration> retryAfter);

	/**
	 * Report the estimate behind the refusal of a request whose target is unreachable.
	 * {@link #finish} follows.
	 * @param requestId the id of the request
	 * @param estimate the inputs of the decision
	 */
	default void targetUnreachable(long requestId, TargetEstimate estimate) {
	}

	/**
	 * Report content that was running on a crashed endpoint to all VMs.
	 * @param contentHash the hash of the customer and the content
	 * @param crashes the number of crashes attributed to the content; 0 clears a
	 * suspicion
	 */
	void publishSuspect(long contentHash, int crashes);

	/**
	 * Request a call of {@link Dispatcher#tick} no later than the given time.
	 * @param nanos the time
	 */
	void wakeAt(long nanos);

	/**
	 * An attempt to send.
	 *
	 * @param id the id of the attempt, unique on this VM
	 * @param requestId the id of the request
	 * @param endpoint the name of the endpoint
	 * @param enginePriority the priority passed to the engine; a smaller number runs
	 * first
	 * @param resumeFrom the number of response tokens that the caller already has; the
	 * attempt continues after them
	 * @param policy the name of the policy that decided
	 */
	record Attempt(long id, long requestId, String endpoint, int enginePriority, int resumeFrom, String policy) {
	}

}
