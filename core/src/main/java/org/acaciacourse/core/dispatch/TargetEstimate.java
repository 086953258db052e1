package org.acaciacourse.core.dispatch;

/**
 * Why a request was refused because its target is out of reach: what the decision went
 * by. Times are in nanoseconds.
 * <p>
 * Immutable and thread safe.
 *
 * @param waited since the request arrived
 * @param expectedWait until it would be sent, 0 if it had its turn
 * @param leastTime from then to the target event, by what was observed lately
 * @param target from the arrival to the target
 * @param ahead the requests that wait before it
 * @param running the requests of its endpoint set that this VM has under way
 * @param healthy the endpoints of the set that are in service and do not fail
 * @param slots what those take at a time
 * @param meanDuration the mean time of a request of its class at an endpoint
 */
public record TargetEstimate(long waited, long expectedWait, long leastTime, long target, int ahead, int running,
		int healthy, int slots, long meanDuration) {
}
