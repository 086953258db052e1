package org.acaciacourse.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.acaciacourse.core.dispatch.DispatchActions.Attempt;
import org.acaciacourse.core.model.Tier;

/**
 * Moves waiting requests to endpoints: lane by lane, highest tier first, as long as there
 * is room.
 * <p>
 * Invariants: after a step no endpoint with room is left while a request that may use it
 * waits; a run is preempted only for a higher tier, and never one on the guaranteed share
 * of the low tier or one that may not be repeated.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class Pump {

	/** How many requests that were begun are looked at in one step of a lane. */
	private static final int BEGUN_SCANNED = 32;

	private static final double BEYOND_WAITED = 0.25;

	private static final long STALL_NANOS = 10_000_000_000L;

	private static final long TRIAL_DRAIN_NANOS = 2_000_000_000L;

	private final DispatchState state;

	private final Chooser chooser;

	Pump(DispatchState state) {
		this.state = state;
		this.chooser = new Chooser(state);
	}

	// Dispatch all that can be dispatched at an endpoint set.
	void run(ServingSet set, long now) {
		if (set.updateQuarantine(this.state.suspects.hasActive(now), now)) {
			set.aside().forEach(this::clear);
		}
		if (set.waiting() == 0) {
			return;
		}
		List<WaitingLine> lines = new ArrayList<>(set.lines.values());
		int first = set.turn++;
		for (int i = 0; i < lines.size(); i++) {
			WaitingLine line = lines.get(Math.floorMod(first + i, lines.size()));
			serveLowShare(set, line, now);
			for (int lane = 0; lane < WaitingLine.LANES && !set.isHeld(lane, now); lane++) {
				serveBegun(line, lane, now);
				serveLane(line, lane, now);
			}
		}
	}

	private void serveLowShare(ServingSet set, WaitingLine line, long now) {
		if (!line.behaviour.heedsTargets()) {
			return;
		}
		Optional<PendingRequest> low = line.nextBegunFirst(Tier.LOW.ordinal(), now);
		while (low.isPresent() && set.owesLowTier(line.tuning.lowestShare())) {
			EndpointView endpoint = this.chooser.choose(low.get(), line.tuning.overcommit(), now);
			if (endpoint == null) {
				return;
			}
			dispatch(low.get(), endpoint, true, now);
			low = line.nextBegunFirst(Tier.LOW.ordinal(), now);
		}
	}

	private void serveBegun(WaitingLine line, int lane, long now) {
		List<PendingRequest> waiting = line.begun(lane);
		if (waiting.isEmpty()) {
			return;
		}
		for (PendingRequest pending : List.copyOf(waiting.subList(0, Math.min(BEGUN_SCANNED, waiting.size())))) {
			if (pending.notBefore <= now) {
				EndpointView endpoint = (pending.apart) ? trialEndpoint(pending, now) : place(pending, now);
				if (endpoint != null) {
					dispatch(pending, endpoint, false, now);
				}
				else if (!pending.isPicky()) {
					return;
				}
			}
		}
	}

	private void serveLane(WaitingLine line, int lane, long now) {
		Optional<PendingRequest> next = line.next(lane, now);
		while (next.isPresent()) {
			PendingRequest pending = next.get();
			if (isLate(pending, now)) {
				this.state.refuseLate(pending, now);
			}
			else {
				EndpointView endpoint = place(pending, now);
				if (endpoint == null) {
					return;
				}
				dispatch(pending, endpoint, false, now);
			}
			next = line.next(lane, now);
		}
	}

	// Return whether a request that never ran cannot meet its target any more.
	boolean isLate(PendingRequest pending, long now) {
		return pending.line.behaviour.heedsTargets() && pending.isUntouched() && now
				+ pending.set.leastTime(pending, pending.line.tuning, this.state.entryCount, now) > pending.targetAt;
	}

	private EndpointView place(PendingRequest pending, long now) {
		EndpointView endpoint = this.chooser.choose(pending, 0, now);
		if (endpoint != null || !pending.line.behaviour.heedsTargets()) {
			return endpoint;
		}
		if (mayPreempt(pending, now)) {
			endpoint = preempt(pending, now);
		}
		if (endpoint == null && pending.requestClass.tier() == Tier.HIGH && maySendBeyond(pending, now)) {
			endpoint = this.chooser.choose(pending, pending.line.tuning.overcommit(), now);
		}
		return endpoint;
	}

	// A request that has waited long has no time left to wait inside an engine, if that
	// is full of high work.
	private boolean maySendBeyond(PendingRequest pending, long now) {
		double waited = now - pending.arrivedAt;
		return waited <= BEYOND_WAITED * (pending.targetAt - pending.arrivedAt)
				&& pending.set.beyond.permits(pending.set.lowerSlots() / this.state.entryCount, now);
	}

	private boolean mayPreempt(PendingRequest pending, long now) {
		Tier tier = pending.requestClass.tier();
		if (tier == Tier.HIGH) {
			return true;
		}
		double waited = now - pending.arrivedAt;
		return tier == Tier.MIDDLE
				&& waited >= pending.line.tuning.preemptAfter() * (pending.targetAt - pending.arrivedAt);
	}

	// Set a lower run of this VM aside and return its endpoint. The lowest tier goes
	// first, and of it the run with the fewest tokens, which has the least to lose.
	private EndpointView preempt(PendingRequest pending, long now) {
		EndpointView endpoint = this.chooser.chooseAmong(pending, (held) -> victimAt(held, pending) != null, now);
		if (endpoint != null) {
			this.state.abandonRun(victimAt(endpoint, pending).pending);
		}
		return endpoint;
	}

	private Run victimAt(EndpointView endpoint, PendingRequest pending) {
		Run victim = null;
		for (Run run : endpoint.runs) {
			victim = (isVictim(run, pending) && isCheaper(run, victim)) ? run : victim;
		}
		return victim;
	}

	private boolean isVictim(Run run, PendingRequest pending) {
		PendingRequest other = run.pending;
		boolean lower = pending.requestClass.tier().outranks(other.requestClass.tier());
		return lower && other.requestClass.preemptible() && !other.info.notRepeated() && !run.guaranteed && !run.apart
				&& !run.cancelled && !other.isDone() && (other.set.canContinue() || other.delivered == 0);
	}

	private static boolean isCheaper(Run run, Run best) {
		if (best == null) {
			return true;
		}
		Tier tier = run.pending.requestClass.tier();
		Tier bestTier = best.pending.requestClass.tier();
		return bestTier.outranks(tier) || (tier == bestTier && run.pending.delivered < best.pending.delivered);
	}

	// Return an endpoint for a suspect: one of those set aside, when nothing else runs
	// there, one suspect at a time. After a while it runs even beside requests of other
	// VMs, which are then retried if it does crash the endpoint.
	private EndpointView trialEndpoint(PendingRequest pending, long now) {
		ServingSet set = pending.set;
		List<EndpointView> aside = set.aside();
		long content = pending.info.contentHash();
		if (aside.isEmpty() || this.state.suspects.rank(content, aside.size(), now) > 0) {
			return null;
		}
		EndpointView endpoint = aside.get(Math.floorMod(content, aside.size()));
		if (pending.tried.contains(endpoint)) {
			return emptyElsewhere(pending, now);
		}
		if (!endpoint.acceptsWork(now) || !endpoint.runs.isEmpty()) {
			return null;
		}
		int load = endpoint.occupancy(pending.line.tuning, this.state.entryCount, now);
		boolean waitedEnough = now - set.asideSince() > TRIAL_DRAIN_NANOS;
		return (load <= 0 || waitedEnough) ? endpoint : null;
	}

	// Take lower runs away from an engine that has set them aside for others' work and
	// does not come back to them: elsewhere they may go on (moving requests between
	// engines as in Llumnix, Sun et al. 2024). Otherwise they stay behind each new high
	// request there until their deadline, while other engines serve their peers.
	void moveStalled(ServingSet set, long now) {
		if (!set.canContinue()) {
			return;
		}
		for (EndpointView endpoint : set.endpoints) {
			for (Run run : endpoint.runs) {
				boolean stalled = now - run.lastTokenAt > STALL_NANOS;
				if (stalled && run.pending.requestClass.preemptible() && !run.pending.info.notRepeated()
						&& !run.apart) {
					this.state.abandonRun(run.pending);
				}
			}
		}
	}

	// The endpoint that is set aside may be the one that has crashed and is back already.
	private static EndpointView emptyElsewhere(PendingRequest pending, long now) {
		for (EndpointView endpoint : pending.set.endpoints) {
			if (endpoint.acceptsWork(now) && endpoint.runs.isEmpty() && !pending.tried.contains(endpoint)) {
				return endpoint;
			}
		}
		return null;
	}

	private void clear(EndpointView endpoint) {
		for (Run run : endpoint.runs) {
			PendingRequest other = run.pending;
			if (!run.apart && !run.cancelled && other.requestClass.preemptible() && !other.info.notRepeated()
					&& other.set.canContinue()) {
				this.state.abandonRun(other);
			}
		}
	}

	private void dispatch(PendingRequest pending, EndpointView endpoint, boolean guaranteed, long now) {
		ServingSet set = pending.set;
		WaitingLine line = pending.line;
		line.serve(pending, (pending.isUntouched()) ? set.expectedTokens(pending) : 0);
		boolean beyond = line.behaviour.heedsTargets() && pending.requestClass.tier() == Tier.HIGH
				&& endpoint.occupancy(line.tuning, this.state.entryCount, now) >= endpoint.usableSlots();
		Run run = new Run(this.state.runs.nextId(), pending, endpoint, now, guaranteed, beyond);
		if (beyond) {
			set.beyond.sent(now);
		}
		this.state.runs.add(run);
		pending.run = run;
		pending.state = PendingRequest.State.RUNNING;
		pending.attempts++;
		pending.notBefore = 0;
		endpoint.started(run);
		set.running++;
		set.noteMix();
		set.guaranteed += (guaranteed) ? 1 : 0;
		this.state.reschedule(pending, pending.deadlineAt);
		this.state.actions.dispatch(new Attempt(run.id, pending.info.id(), endpoint.name,
				line.behaviour.enginePriority(pending, guaranteed), pending.delivered, line.policy));
	}

}
