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
final class EndpointSelector {

	private final DispatchState state;

	private EndpointView[] candidates = new EndpointView[64];

	EndpointSelector(DispatchState state) {
		this.state = state;
	}

	/**
	 * Find an endpoint for a request.
	 * @param pending the request
	 * @param overcommit how many requests beyond its slots an endpoint may hold
	 * @param now the time
	 * @return the endpoint, or null if none has room
	 */
	EndpointView select(PendingRequest pending, int overcommit, long now) {
		int count = 0;
		for (EndpointView endpoint : pending.endpointSet.endpoints) {
			if (isEligible(endpoint, pending, now) && hasCapacity(endpoint, pending, overcommit, now)) {
				count = addCandidate(endpoint, count);
			}
		}
		return selectCheapest(pending, count, now);
	}

	// Return whether an endpoint may serve a request, load aside.
	boolean isEligible(EndpointView endpoint, PendingRequest pending, long now) {
		return endpoint.acceptsRequests(now) && !endpoint.reservedForIsolation
				&& !pending.triedEndpoints.contains(endpoint);
	}

	private boolean hasCapacity(EndpointView endpoint, PendingRequest pending, int overcommit, long now) {
		PolicyQueue queue = pending.queue;
		if (queue.settings.credits() > 0) {
			int ownSlots = (int) Math
				.ceil(queue.settings.credits() * endpoint.definition.slots() / this.state.entryCount);
			return endpoint.attempts.size() < ownSlots + overcommit;
		}
		if (queue.behaviour.hasCapacity(endpoint, queue.settings, this.state.entryCount, now)) {
			return true;
		}
		int load = queue.behaviour.load(endpoint, queue.settings, this.state.entryCount, now);
		return overcommit > 0 && load < endpoint.usableSlots() + overcommit;
	}

	// Return the victim's endpoint that is cheapest for a request, of those that hold
	// one.
	EndpointView selectPreemptible(PendingRequest pending, Predicate<EndpointView> holdsVictim, long now) {
		int count = 0;
		for (EndpointView endpoint : pending.endpointSet.endpoints) {
			if (isEligible(endpoint, pending, now) && endpoint.slowdown <= 1 && holdsVictim.test(endpoint)) {
				count = addCandidate(endpoint, count);
			}
		}
		return selectCheapest(pending, count, now);
	}

	private int addCandidate(EndpointView endpoint, int count) {
		if (count == this.candidates.length) {
			this.candidates = Arrays.copyOf(this.candidates, 2 * count);
		}
		this.candidates[count] = endpoint;
		return count + 1;
	}

	private EndpointView selectCheapest(PendingRequest pending, int count, long now) {
		PolicyQueue queue = pending.queue;
		int compared = Math.min(count, queue.behaviour.choices(queue.settings));
		EndpointView best = null;
		double lowest = Double.MAX_VALUE;
		for (int i = 0; i < compared; i++) {
			if (compared < count) {
				swap(i, i + this.state.random.nextInt(count - i));
			}
			EndpointView endpoint = this.candidates[i];
			double cost = queue.behaviour.cost(endpoint, pending, queue.settings, this.state.entryCount, now);
			if (cost < lowest) {
				lowest = cost;
				best = endpoint;
			}
		}
		return best;
	}

	private void swap(int i, int j) {
		EndpointView first = this.candidates[i];
		this.candidates[i] = this.candidates[j];
		this.candidates[j] = first;
	}

}
