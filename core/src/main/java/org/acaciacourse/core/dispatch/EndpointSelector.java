package org.acaciacourse.core.dispatch;

import java.util.Arrays;
import java.util.function.Predicate;

/**
 * Selects an endpoint. Among the endpoints with free capacity it compares a few random
 * ones and takes the cheapest (power of two choices, Mitzenmacher 2001): if all VMs took
 * the apparently best endpoint of the same delayed load report, they would all pick the
 * same one. Capacity is checked on all endpoints, so that none is idle while a request
 * waits.
 * <p>
 * Not thread safe: owned by one dispatcher; the candidate array is reused to avoid an
 * allocation per decision.
 */
final class EndpointSelector {

	private final DispatchState state;

	private EndpointView[] candidates = new EndpointView[64];

	EndpointSelector(DispatchState state) {
		this.state = state;
	}

	/**
	 * Select an endpoint for a request.
	 * @param pending the request
	 * @param overcommit how many requests beyond its slots an endpoint may hold
	 * @param now the time
	 * @return the endpoint, or null if none has capacity
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

	// Returns whether an endpoint may serve a request, regardless of its load.
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

	// Returns the cheapest endpoint for a request among those with a preemptible attempt.
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
