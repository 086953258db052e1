package org.acaciacourse.core.dispatch;

/**
 * The inputs of the decision to refuse a request because its target is unreachable. Times
 * are in nanoseconds.
 * <p>
 * Immutable and thread safe.
 *
 * @param waited the time since the arrival of the request
 * @param expectedWait the expected time until its dispatch, 0 if it was next
 * @param minServiceTime the minimum time from dispatch to the target event according to
 * recent observations
 * @param target the time from the arrival to the target
 * @param ahead the number of requests served before it
 * @param running the number of active attempts of this VM at the endpoint set
 * @param healthy the number of endpoints of the set that are in service and do not fail
 * @param slots the number of usable slots of those endpoints
 * @param meanDuration the mean duration of an attempt of its class
 */
public record TargetEstimate(long waited, long expectedWait, long minServiceTime, long target, int ahead, int running,
		int healthy, int slots, long meanDuration) {
}
