package org.acaciacourse.core.dispatch;

import java.util.Optional;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.suspect.SuspectTable;
import org.acaciacourse.core.model.Tier;

/**
 * Decides on arrival whether a request may wait at all.
 * <p>
 * Invariants: nothing is refused for lack of room while something of a lower tier waits
 * for the same endpoints: that one is shed first. A refusal for the target counts only
 * what goes before the request, with all preemptible work out of the way, so that lower
 * tiers are never its reason. A flow may use as much of the queue as is left free
 * (dynamic thresholds, Choudhury and Hahne 1998), so that one customer cannot fill it.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class Admission {

	private static final long NO_ENDPOINT_WAIT_NANOS = 2_000_000_000L;

	private static final long FULL_WAIT_NANOS = 5_000_000_000L;

	private final DispatchState state;

	Admission(DispatchState state) {
		this.state = state;
	}

	/**
	 * Return the refusal of a request that cannot be admitted.
	 * @param pending the request, not yet in a line
	 * @param queue the line it would wait in
	 * @param now the time
	 * @return the reason and the time to come back, empty if it is admitted
	 */
	Optional<Refusal> check(PendingRequest pending, PolicyQueue queue, long now) {
		if (this.state.suspects.crashes(pending.info.contentHash(), now) >= SuspectTable.CONVICTION) {
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
			return Refusal.of(ResultCode.QUEUE_FULL, FULL_WAIT_NANOS);
		}
		return Optional.empty();
	}

	// Estimate the wait for an endpoint by Little's law: what waits before the request,
	// times the mean time that one takes, over the requests that run side by side.
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
		this.state.finish(victim[0], ResultCode.SHED, FULL_WAIT_NANOS);
		return true;
	}

	// The lowest tier is shed first, and of it the one that has waited least.
	private static boolean isShedBefore(PendingRequest candidate, PendingRequest other) {
		if (other == null || other.requestClass.tier().outranks(candidate.requestClass.tier())) {
			return true;
		}
		return candidate.requestClass.tier() == other.requestClass.tier() && candidate.attemptCount == 0
				&& (other.attemptCount > 0 || candidate.arrivedAt >= other.arrivedAt);
	}

	/**
	 * Why a request is not admitted.
	 *
	 * @param code the reason
	 * @param waitNanos the expected wait, from which the time to come back is made
	 */
	record Refusal(ResultCode code, long waitNanos) {

		static Optional<Refusal> of(ResultCode code, long waitNanos) {
			return Optional.of(new Refusal(code, waitNanos));
		}

	}

}
