package org.acaciacourse.core.dispatch;

import java.util.Arrays;
import java.util.function.Predicate;

/**
 * Chooses an endpoint. Among those with room it compares a few at random and takes the
 * cheapest (power of two choices, Mitzenmacher 2001): VMs that all took the one that
 * looks best by the same late report would move as a herd. All endpoints are looked at
 * for room, so that none is idle while a request waits.
 * <p>
 * Not thread safe: owned by one dispatcher; the scratch array saves an allocation for
 * each decision.
 */
final class Chooser {

	private final DispatchState state;

	private EndpointView[] scratch = new EndpointView[64];

	Chooser(DispatchState state) {
		this.state = state;
	}

	/**
	 * Find an endpoint for a request.
	 * @param pending the request
	 * @param beyondSlots how many requests beyond its slots an endpoint may hold
	 * @param now the time
	 * @return the endpoint, or null if none has room
	 */
	EndpointView choose(PendingRequest pending, int beyondSlots, long now) {
		int count = 0;
		for (EndpointView endpoint : pending.set.endpoints) {
			if (permits(endpoint, pending, now) && hasRoom(endpoint, pending, beyondSlots, now)) {
				count = note(endpoint, count);
			}
		}
		return cheapest(pending, count, now);
	}

	// Return whether an endpoint may serve a request, load aside.
	boolean permits(EndpointView endpoint, PendingRequest pending, long now) {
		return endpoint.acceptsWork(now) && !endpoint.quarantined && !pending.tried.contains(endpoint);
	}

	private boolean hasRoom(EndpointView endpoint, PendingRequest pending, int beyondSlots, long now) {
		WaitingLine line = pending.line;
		if (line.tuning.credits() > 0) {
			int part = (int) Math.ceil(line.tuning.credits() * endpoint.endpoint.slots() / this.state.entryCount);
			return endpoint.runs.size() < part + beyondSlots;
		}
		if (line.behaviour.hasRoom(endpoint, line.tuning, this.state.entryCount, now)) {
			return true;
		}
		int load = line.behaviour.load(endpoint, line.tuning, this.state.entryCount, now);
		return beyondSlots > 0 && load < endpoint.usableSlots() + beyondSlots;
	}

	// Return the victim's endpoint that is cheapest for a request, of those that hold
	// one.
	EndpointView chooseAmong(PendingRequest pending, Predicate<EndpointView> holdsVictim, long now) {
		int count = 0;
		for (EndpointView endpoint : pending.set.endpoints) {
			if (permits(endpoint, pending, now) && endpoint.slowness <= 1 && holdsVictim.test(endpoint)) {
				count = note(endpoint, count);
			}
		}
		return cheapest(pending, count, now);
	}

	private int note(EndpointView endpoint, int count) {
		if (count == this.scratch.length) {
			this.scratch = Arrays.copyOf(this.scratch, 2 * count);
		}
		this.scratch[count] = endpoint;
		return count + 1;
	}

	private EndpointView cheapest(PendingRequest pending, int count, long now) {
		WaitingLine line = pending.line;
		int compared = Math.min(count, line.behaviour.choices(line.tuning));
		EndpointView best = null;
		double lowest = Double.MAX_VALUE;
		for (int i = 0; i < compared; i++) {
			if (compared < count) {
				swap(i, i + this.state.random.nextInt(count - i));
			}
			EndpointView endpoint = this.scratch[i];
			double cost = line.behaviour.cost(endpoint, pending, line.tuning, this.state.entryCount, now);
			if (cost < lowest) {
				lowest = cost;
				best = endpoint;
			}
		}
		return best;
	}

	private void swap(int i, int j) {
		EndpointView kept = this.scratch[i];
		this.scratch[i] = this.scratch[j];
		this.scratch[j] = kept;
	}

}
