package org.acaciacourse.core.dispatch;

import java.util.Optional;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.suspect.SuspectTable;
import org.acaciacourse.core.model.Tier;

/**
 * Decides on arrival whether a request is queued or refused.
 * <p>
 * Invariants: no request is refused for a full queue while a request of a lower tier
 * waits for the same endpoint set: the lower one is shed first. The check against the
 * latency target counts only the requests that are served before this one and treats
 * preemptible work as gone, so that lower tiers never cause such a refusal. A flow may
 * hold at most as many waiting requests as the queue has free places (dynamic thresholds,
 * Choudhury and Hahne 1998), so that one customer cannot fill it.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class Admission {

	private static final long NO_ENDPOINT_WAIT_NANOS = 2_000_000_000L;

	private static final long QUEUE_FULL_WAIT_NANOS = 5_000_000_000L;

	private final DispatchState state;

	Admission(DispatchState state) {
		this.state = state;
	}

	/**
	 * Check whether a request can be admitted.
	 * @param pending the request, not yet queued
	 * @param queue the queue that it would wait in
	 * @param now the time
	 * @return the refusal, empty if the request is admitted
	 */
	Optional<Refusal> check(PendingRequest pending, PolicyQueue queue, long now) {
		if (this.state.suspects.crashes(pending.info.contentHash(), now) >= SuspectTable.BLOCKING_CRASHES) {
			return Refusal.of(ResultCode.CRASHING_CONTENT, 0);
		}
		if (pending.deadlineAt <= now) {
			return Refusal.of(ResultCode.DEADLINE_EXCEEDED, 0);
		}
		if (!pending.endpointSet.hasEndpointInService()) {
			return Refusal.of(ResultCode.NO_ENDPOINT, NO_ENDPOINT_WAIT_NANOS);
		}
		if (queue.behaviour.enforcesTargets()) {
			long wait = expectedWait(pending, queue, now);
			long minServiceTime = pending.endpointSet.minServiceTime(pending, queue.settings, this.state.entryCount,
					now);
			if (now + wait + minServiceTime > pending.targetAt) {
				this.state.reportUnreachable(pending, queue, wait, minServiceTime, now);
				return Refusal.of(ResultCode.TARGET_UNREACHABLE, wait);
			}
		}
		int free = queue.settings.maxQueued() - pending.endpointSet.waitingCount();
		boolean full = free <= 0 && !shedLowerTier(pending, queue);
		if (full || queue.sizeOfFlow(pending) > Math.max(0, free)) {
			return Refusal.of(ResultCode.QUEUE_FULL, QUEUE_FULL_WAIT_NANOS);
		}
		return Optional.empty();
	}

	// Estimates the queueing time by Little's law: the number of requests ahead, times
	// their mean duration, divided by the number that run concurrently.
	long expectedWait(PendingRequest pending, PolicyQueue queue, long now) {
		int ahead = queue.aheadOf(pending);
		if (ahead == 0) {
			return 0;
		}
		double duration = pending.endpointSet.meanDuration(pending.info.requestClass());
		int concurrency = Math.max(1, Math.max(pending.endpointSet.activeAttempts, ownSlots(pending.endpointSet)));
		return (long) (ahead * duration / concurrency);
	}

	private int ownSlots(EndpointSetState set) {
		int slots = 0;
		for (EndpointView endpoint : set.endpoints) {
			slots += endpoint.isHealthy() ? endpoint.usableSlots() : 0;
		}
		return slots / this.state.entryCount;
	}

	private boolean shedLowerTier(PendingRequest pending, PolicyQueue queue) {
		if (!queue.behaviour.enforcesTargets()) {
			return false;
		}
		Tier tier = pending.requestClass.tier();
		PendingRequest[] victim = new PendingRequest[1];
		pending.endpointSet.queues.values().forEach((other) -> other.forEach((candidate) -> {
			if (tier.outranks(candidate.requestClass.tier()) && isShedBefore(candidate, victim[0])) {
				victim[0] = candidate;
			}
		}));
		if (victim[0] == null) {
			return false;
		}
		this.state.finish(victim[0], ResultCode.SHED, QUEUE_FULL_WAIT_NANOS);
		return true;
	}

	// The lowest tier is shed first, and within a tier the latest arrival that was never
	// dispatched.
	private static boolean isShedBefore(PendingRequest candidate, PendingRequest other) {
		if (other == null || other.requestClass.tier().outranks(candidate.requestClass.tier())) {
			return true;
		}
		return candidate.requestClass.tier() == other.requestClass.tier() && candidate.attemptCount == 0
				&& (other.attemptCount > 0 || candidate.arrivedAt >= other.arrivedAt);
	}

	/**
	 * The refusal of a request.
	 *
	 * @param code the reason
	 * @param waitNanos the expected wait in nanoseconds, from which the retry-after time
	 * is derived
	 */
	record Refusal(ResultCode code, long waitNanos) {

		static Optional<Refusal> of(ResultCode code, long waitNanos) {
			return Optional.of(new Refusal(code, waitNanos));
		}

	}

}
