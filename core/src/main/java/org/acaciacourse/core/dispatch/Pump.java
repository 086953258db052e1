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
		Optional<Flight> low = line.nextBegunFirst(Tier.LOW.ordinal(), now);
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
		List<Flight> waiting = line.begun(lane);
		if (waiting.isEmpty()) {
			return;
		}
		for (Flight flight : List.copyOf(waiting.subList(0, Math.min(BEGUN_SCANNED, waiting.size())))) {
			if (flight.notBefore <= now) {
				EndpointView endpoint = (flight.apart) ? trialEndpoint(flight, now) : place(flight, now);
				if (endpoint != null) {
					dispatch(flight, endpoint, false, now);
				}
				else if (!flight.isPicky()) {
					return;
				}
			}
		}
	}

	private void serveLane(WaitingLine line, int lane, long now) {
		Optional<Flight> next = line.next(lane, now);
		while (next.isPresent()) {
			Flight flight = next.get();
			if (isLate(flight, now)) {
				this.state.refuseLate(flight, now);
			}
			else {
				EndpointView endpoint = place(flight, now);
				if (endpoint == null) {
					return;
				}
				dispatch(flight, endpoint, false, now);
			}
			next = line.next(lane, now);
		}
	}

	// Return whether a request that never ran cannot meet its target any more.
	boolean isLate(Flight flight, long now) {
		return flight.line.behaviour.heedsTargets() && flight.isUntouched()
				&& now + flight.set.leastTime(flight, flight.line.tuning, this.state.entryCount, now) > flight.targetAt;
	}

	private EndpointView place(Flight flight, long now) {
		EndpointView endpoint = this.chooser.choose(flight, 0, now);
		if (endpoint != null || !flight.line.behaviour.heedsTargets()) {
			return endpoint;
		}
		if (mayPreempt(flight, now)) {
			endpoint = preempt(flight, now);
		}
		if (endpoint == null && flight.requestClass.tier() == Tier.HIGH && maySendBeyond(flight, now)) {
			endpoint = this.chooser.choose(flight, flight.line.tuning.overcommit(), now);
		}
		return endpoint;
	}

	// A request that has waited long has no time left to wait inside an engine, if that
	// is
	// full of high work.
	private boolean maySendBeyond(Flight flight, long now) {
		double waited = now - flight.arrivedAt;
		return waited <= BEYOND_WAITED * (flight.targetAt - flight.arrivedAt)
				&& flight.set.beyond.permits(flight.set.lowerSlots() / this.state.entryCount, now);
	}

	private boolean mayPreempt(Flight flight, long now) {
		Tier tier = flight.requestClass.tier();
		if (tier == Tier.HIGH) {
			return true;
		}
		double waited = now - flight.arrivedAt;
		return tier == Tier.MIDDLE
				&& waited >= flight.line.tuning.preemptAfter() * (flight.targetAt - flight.arrivedAt);
	}

	// Set a lower run of this VM aside and return its endpoint. The lowest tier goes
	// first, and of it the run with the fewest tokens, which has the least to lose.
	private EndpointView preempt(Flight flight, long now) {
		EndpointView endpoint = this.chooser.chooseAmong(flight, (held) -> victimAt(held, flight) != null, now);
		if (endpoint != null) {
			this.state.abandonRun(victimAt(endpoint, flight).flight);
		}
		return endpoint;
	}

	private Run victimAt(EndpointView endpoint, Flight flight) {
		Run victim = null;
		for (Run run : endpoint.runs) {
			victim = (isVictim(run, flight) && isCheaper(run, victim)) ? run : victim;
		}
		return victim;
	}

	private boolean isVictim(Run run, Flight flight) {
		Flight other = run.flight;
		boolean lower = flight.requestClass.tier().outranks(other.requestClass.tier());
		return lower && other.requestClass.preemptible() && !other.info.notRepeated() && !run.guaranteed && !run.apart
				&& !run.cancelled && !other.isDone() && (other.set.canContinue() || other.delivered == 0);
	}

	private static boolean isCheaper(Run run, Run best) {
		if (best == null) {
			return true;
		}
		Tier tier = run.flight.requestClass.tier();
		Tier bestTier = best.flight.requestClass.tier();
		return bestTier.outranks(tier) || (tier == bestTier && run.flight.delivered < best.flight.delivered);
	}

	// Return an endpoint for a suspect: one of those set aside, when nothing else runs
	// there, one suspect at a time. After a while it runs even beside requests of other
	// VMs, which are then retried if it does crash the endpoint.
	private EndpointView trialEndpoint(Flight flight, long now) {
		ServingSet set = flight.set;
		List<EndpointView> aside = set.aside();
		long content = flight.info.contentHash();
		if (aside.isEmpty() || this.state.suspects.rank(content, aside.size(), now) > 0) {
			return null;
		}
		EndpointView endpoint = aside.get(Math.floorMod(content, aside.size()));
		if (flight.tried.contains(endpoint)) {
			return emptyElsewhere(flight, now);
		}
		if (!endpoint.acceptsWork(now) || !endpoint.runs.isEmpty()) {
			return null;
		}
		int load = endpoint.occupancy(flight.line.tuning, this.state.entryCount, now);
		boolean waitedEnough = now - set.asideSince() > TRIAL_DRAIN_NANOS;
		return (load <= 0 || waitedEnough) ? endpoint : null;
	}

	// Take lower runs away from an engine that has set them aside for others' work and
	// does
	// not come back to them: elsewhere they may go on (moving requests between engines as
	// in
	// Llumnix, Sun et al. 2024). Otherwise they stay behind each new high request there
	// until their deadline, while other engines serve their peers.
	void moveStalled(ServingSet set, long now) {
		if (!set.canContinue()) {
			return;
		}
		for (EndpointView endpoint : set.endpoints) {
			for (Run run : endpoint.runs) {
				boolean stalled = now - run.lastTokenAt > STALL_NANOS;
				if (stalled && run.flight.requestClass.preemptible() && !run.flight.info.notRepeated() && !run.apart) {
					this.state.abandonRun(run.flight);
				}
			}
		}
	}

	// The endpoint that is set aside may be the one that has crashed and is back already.
	private static EndpointView emptyElsewhere(Flight flight, long now) {
		for (EndpointView endpoint : flight.set.endpoints) {
			if (endpoint.acceptsWork(now) && endpoint.runs.isEmpty() && !flight.tried.contains(endpoint)) {
				return endpoint;
			}
		}
		return null;
	}

	private void clear(EndpointView endpoint) {
		for (Run run : endpoint.runs) {
			Flight other = run.flight;
			if (!run.apart && !run.cancelled && other.requestClass.preemptible() && !other.info.notRepeated()
					&& other.set.canContinue()) {
				this.state.abandonRun(other);
			}
		}
	}

	private void dispatch(Flight flight, EndpointView endpoint, boolean guaranteed, long now) {
		ServingSet set = flight.set;
		WaitingLine line = flight.line;
		line.serve(flight, (flight.isUntouched()) ? set.expectedTokens(flight) : 0);
		boolean beyond = line.behaviour.heedsTargets() && flight.requestClass.tier() == Tier.HIGH
				&& endpoint.occupancy(line.tuning, this.state.entryCount, now) >= endpoint.usableSlots();
		Run run = new Run(this.state.runs.nextId(), flight, endpoint, now, guaranteed, beyond);
		if (beyond) {
			set.beyond.sent(now);
		}
		this.state.runs.add(run);
		flight.run = run;
		flight.state = Flight.State.RUNNING;
		flight.attempts++;
		flight.notBefore = 0;
		endpoint.started(run);
		set.running++;
		set.noteMix();
		set.guaranteed += (guaranteed) ? 1 : 0;
		this.state.reschedule(flight, flight.deadlineAt);
		this.state.actions.dispatch(new Attempt(run.id, flight.info.id(), endpoint.name,
				line.behaviour.enginePriority(flight, guaranteed), flight.delivered, line.policy));
	}

}
