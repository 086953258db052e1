package org.acaciacourse.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.acaciacourse.core.dispatch.DispatchActions.Attempt;
import org.acaciacourse.core.model.Tier;

/**
 * Dispatches waiting requests to endpoints, lane by lane from the highest tier, while
 * there is free capacity.
 * <p>
 * Invariants: after a step no endpoint has free capacity while a request that may use it
 * waits; an attempt is preempted only for a higher tier, and never if it uses the
 * guaranteed share of the low tier or its request may not be repeated.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class Scheduler {

	/** The maximum number of requeued requests examined in one step of a lane. */
	private static final int MAX_REQUEUED_SCANNED = 32;

	private static final double MAX_OVERCOMMIT_WAIT_SHARE = 0.25;

	private static final long STALL_NANOS = 10_000_000_000L;

	private static final long ISOLATION_DRAIN_NANOS = 2_000_000_000L;

	private final DispatchState state;

	private final EndpointSelector selector;

	Scheduler(DispatchState state) {
		this.state = state;
		this.selector = new EndpointSelector(state);
	}

	// Dispatches as many waiting requests of an endpoint set as possible.
	void dispatchWaiting(EndpointSetState set, long now) {
		if (set.updateIsolation(this.state.suspects.hasActiveSuspect(now), now)) {
			set.isolationEndpoints().forEach(this::vacate);
		}
		if (set.waitingCount() == 0) {
			return;
		}
		List<PolicyQueue> queues = new ArrayList<>(set.queues.values());
		int first = set.nextQueue++;
		for (int i = 0; i < queues.size(); i++) {
			PolicyQueue queue = queues.get(Math.floorMod(first + i, queues.size()));
			serveGuaranteedShare(set, queue, now);
			for (int lane = 0; lane < PolicyQueue.LANE_COUNT && !set.isLaneBlocked(lane, now); lane++) {
				serveRequeued(queue, lane, now);
				serveLane(queue, lane, now);
			}
		}
	}

	private void serveGuaranteedShare(EndpointSetState set, PolicyQueue queue, long now) {
		if (!queue.behaviour.enforcesTargets()) {
			return;
		}
		Optional<PendingRequest> low = queue.nextRequeuedFirst(Tier.LOW.ordinal(), now);
		while (low.isPresent() && set.isLowTierOwed(queue.settings.lowestShare())) {
			EndpointView endpoint = this.selector.select(low.get(), queue.settings.overcommit(), now);
			if (endpoint == null) {
				return;
			}
			dispatch(low.get(), endpoint, true, now);
			low = queue.nextRequeuedFirst(Tier.LOW.ordinal(), now);
		}
	}

	private void serveRequeued(PolicyQueue queue, int lane, long now) {
		List<PendingRequest> waiting = queue.requeued(lane);
		if (waiting.isEmpty()) {
			return;
		}
		for (PendingRequest pending : List.copyOf(waiting.subList(0, Math.min(MAX_REQUEUED_SCANNED, waiting.size())))) {
			if (pending.notBefore <= now) {
				EndpointView endpoint = (pending.isolated) ? findIsolationEndpoint(pending, now)
						: findEndpoint(pending, now);
				if (endpoint != null) {
					dispatch(pending, endpoint, false, now);
				}
				else if (!pending.isConstrained()) {
					return;
				}
			}
		}
	}

	private void serveLane(PolicyQueue queue, int lane, long now) {
		Optional<PendingRequest> next = queue.next(lane, now);
		while (next.isPresent()) {
			PendingRequest pending = next.get();
			if (isTargetUnreachable(pending, now)) {
				this.state.refuseUnreachable(pending, now);
			}
			else {
				EndpointView endpoint = findEndpoint(pending, now);
				if (endpoint == null) {
					return;
				}
				dispatch(pending, endpoint, false, now);
			}
			next = queue.next(lane, now);
		}
	}

	// Returns whether a request without attempts can no longer meet its target.
	boolean isTargetUnreachable(PendingRequest pending, long now) {
		return pending.queue.behaviour.enforcesTargets() && pending.isUndispatched() && now + pending.endpointSet
			.minServiceTime(pending, pending.queue.settings, this.state.entryCount, now) > pending.targetAt;
	}

	private EndpointView findEndpoint(PendingRequest pending, long now) {
		EndpointView endpoint = this.selector.select(pending, 0, now);
		if (endpoint != null || !pending.queue.behaviour.enforcesTargets()) {
			return endpoint;
		}
		if (mayPreempt(pending, now)) {
			endpoint = preempt(pending, now);
		}
		if (endpoint == null && pending.requestClass.tier() == Tier.HIGH && mayOvercommit(pending, now)) {
			endpoint = this.selector.select(pending, pending.queue.settings.overcommit(), now);
		}
		return endpoint;
	}

	// A request that has already waited long has no time left to wait inside an engine
	// that turns out to be full of high-tier work.
	private boolean mayOvercommit(PendingRequest pending, long now) {
		double waited = now - pending.arrivedAt;
		return waited <= MAX_OVERCOMMIT_WAIT_SHARE * (pending.targetAt - pending.arrivedAt)
				&& pending.endpointSet.overcommitWindow
					.permits(pending.endpointSet.lowerTierSlots() / this.state.entryCount, now);
	}

	private boolean mayPreempt(PendingRequest pending, long now) {
		Tier tier = pending.requestClass.tier();
		if (tier == Tier.HIGH) {
			return true;
		}
		double waited = now - pending.arrivedAt;
		return tier == Tier.MIDDLE
				&& waited >= pending.queue.settings.preemptAfter() * (pending.targetAt - pending.arrivedAt);
	}

	// Cancels a lower-tier attempt of this VM and returns its endpoint. The victim is of
	// the lowest tier, and within it the attempt with the fewest delivered tokens, so
	// that the least work is lost.
	private EndpointView preempt(PendingRequest pending, long now) {
		EndpointView endpoint = this.selector.selectPreemptible(pending,
				(candidate) -> findVictim(candidate, pending) != null, now);
		if (endpoint != null) {
			this.state.cancelAttempt(findVictim(endpoint, pending).pending);
		}
		return endpoint;
	}

	private ActiveAttempt findVictim(EndpointView endpoint, PendingRequest pending) {
		ActiveAttempt victim = null;
		for (ActiveAttempt attempt : endpoint.attempts) {
			victim = (isVictim(attempt, pending) && isBetterVictim(attempt, victim)) ? attempt : victim;
		}
		return victim;
	}

	private boolean isVictim(ActiveAttempt attempt, PendingRequest pending) {
		PendingRequest other = attempt.pending;
		boolean lower = pending.requestClass.tier().outranks(other.requestClass.tier());
		return lower && other.requestClass.preemptible() && !other.info.notRepeated() && !attempt.guaranteed
				&& !attempt.isolated && !attempt.cancelled && !other.isDone()
				&& (other.endpointSet.canResume() || other.deliveredTokens == 0);
	}

	private static boolean isBetterVictim(ActiveAttempt attempt, ActiveAttempt best) {
		if (best == null) {
			return true;
		}
		Tier tier = attempt.pending.requestClass.tier();
		Tier bestTier = best.pending.requestClass.tier();
		return bestTier.outranks(tier)
				|| (tier == bestTier && attempt.pending.deliveredTokens < best.pending.deliveredTokens);
	}

	// Returns an isolation endpoint for a suspect request, one suspect at a time and only
	// if nothing else runs there. After a timeout it may run beside requests of other
	// VMs, which are retried if it crashes the endpoint.
	private EndpointView findIsolationEndpoint(PendingRequest pending, long now) {
		EndpointSetState set = pending.endpointSet;
		List<EndpointView> isolationEndpoints = set.isolationEndpoints();
		long content = pending.info.contentHash();
		if (isolationEndpoints.isEmpty() || this.state.suspects.rank(content, isolationEndpoints.size(), now) > 0) {
			return null;
		}
		EndpointView endpoint = isolationEndpoints.get(Math.floorMod(content, isolationEndpoints.size()));
		if (pending.triedEndpoints.contains(endpoint)) {
			return findEmptyEndpoint(pending, now);
		}
		if (!endpoint.acceptsRequests(now) || !endpoint.attempts.isEmpty()) {
			return null;
		}
		int load = endpoint.occupancy(pending.queue.settings, this.state.entryCount, now);
		boolean drainTimedOut = now - set.isolationSince() > ISOLATION_DRAIN_NANOS;
		return (load <= 0 || drainTimedOut) ? endpoint : null;
	}

	// Cancels lower-tier attempts that an engine has preempted for requests of other VMs
	// and does not resume, so that they continue at another endpoint (migration between
	// engines as in Llumnix, Sun et al. 2024). Otherwise they would stay behind each new
	// high-tier request there until their deadline, while other engines run requests of
	// the same tier.
	void moveStalledAttempts(EndpointSetState set, long now) {
		if (!set.canResume()) {
			return;
		}
		for (EndpointView endpoint : set.endpoints) {
			for (ActiveAttempt attempt : endpoint.attempts) {
				boolean stalled = now - attempt.lastTokenAt > STALL_NANOS;
				if (stalled && attempt.pending.requestClass.preemptible() && !attempt.pending.info.notRepeated()
						&& !attempt.isolated) {
					this.state.cancelAttempt(attempt.pending);
				}
			}
		}
	}

	// The isolation endpoint may be the one that crashed before and has already
	// restarted; the retry then needs another empty endpoint.
	private static EndpointView findEmptyEndpoint(PendingRequest pending, long now) {
		for (EndpointView endpoint : pending.endpointSet.endpoints) {
			if (endpoint.acceptsRequests(now) && endpoint.attempts.isEmpty()
					&& !pending.triedEndpoints.contains(endpoint)) {
				return endpoint;
			}
		}
		return null;
	}

	private void vacate(EndpointView endpoint) {
		for (ActiveAttempt attempt : endpoint.attempts) {
			PendingRequest other = attempt.pending;
			if (!attempt.isolated && !attempt.cancelled && other.requestClass.preemptible() && !other.info.notRepeated()
					&& other.endpointSet.canResume()) {
				this.state.cancelAttempt(other);
			}
		}
	}

	private void dispatch(PendingRequest pending, EndpointView endpoint, boolean guaranteed, long now) {
		EndpointSetState set = pending.endpointSet;
		PolicyQueue queue = pending.queue;
		queue.serve(pending, (pending.isUndispatched()) ? set.expectedTokens(pending) : 0);
		boolean overcommitted = queue.behaviour.enforcesTargets() && pending.requestClass.tier() == Tier.HIGH
				&& endpoint.occupancy(queue.settings, this.state.entryCount, now) >= endpoint.usableSlots();
		ActiveAttempt attempt = new ActiveAttempt(this.state.attempts.nextId(), pending, endpoint, now, guaranteed,
				overcommitted);
		if (overcommitted) {
			set.overcommitWindow.sent(now);
		}
		this.state.attempts.add(attempt);
		pending.attempt = attempt;
		pending.state = PendingRequest.State.RUNNING;
		pending.attemptCount++;
		pending.notBefore = 0;
		endpoint.attemptStarted(attempt);
		set.activeAttempts++;
		set.updateTierMix();
		set.guaranteedAttempts += (guaranteed) ? 1 : 0;
		this.state.reschedule(pending, pending.deadlineAt);
		this.state.actions.dispatch(new Attempt(attempt.id, pending.info.id(), endpoint.name,
				queue.behaviour.enginePriority(pending, guaranteed), pending.deliveredTokens, queue.policy));
	}

}
