package org.acaciacourse.core.admission;

import java.time.Duration;
import java.util.Objects;

import org.acaciacourse.core.route.FleetEndpoint;

/**
 * Whether a request is sent, where, and what decided it. Times are nanoseconds.
 * <p>
 * Immutable and thread safe.
 *
 * @param reason why it is sent or refused
 * @param endpoint where it is sent, or where it would have been served first
 * @param estimate the estimated time to its first event or plain answer there
 * @param needed the time within which the answer is very likely to be complete there
 * @param remaining the time that its caller still waits
 * @param margin the factor for the error of the estimate
 * @param work the work until the first event there, in prompt tokens
 * @param running the requests known at the pool's usable endpoints, 0 if they were not
 * counted
 * @param slots the slots of these endpoints
 * @param retryAfter the delay after which the caller of a refused request is to retry,
 * zero for one that is sent
 */
public record AdmissionDecision(AdmissionReason reason, FleetEndpoint endpoint, long estimate, long needed,
		long remaining, double margin, long work, int running, int slots, Duration retryAfter) {

	public AdmissionDecision {
		Objects.requireNonNull(reason, "reason");
		Objects.requireNonNull(endpoint, "endpoint");
		Objects.requireNonNull(retryAfter, "retryAfter");
	}

	/**
	 * Create the decision to send a request without an estimate.
	 * @param endpoint the endpoint that was chosen
	 * @return the decision
	 */
	public static AdmissionDecision unknown(FleetEndpoint endpoint) {
		return new AdmissionDecision(AdmissionReason.UNKNOWN, endpoint, 0, 0, 0, 1, 0, 0, 0, Duration.ZERO);
	}

}
