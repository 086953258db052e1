package org.acaciacourse.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.acaciacourse.core.dispatch.queue.FairQueue;
import org.acaciacourse.core.model.Tier;

/**
 * The waiting requests of one policy at one endpoint set: a lane for each tier, and
 * beside each lane a list of those that were at an endpoint before. These go first, for
 * their answers are begun, and one that only some endpoints may serve does not block the
 * others there.
 * <p>
 * Invariant: a waiting flight is in exactly one lane or list.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class WaitingLine {

	static final int LANES = Tier.values().length;

	final String policy;

	final PolicyBehaviour behaviour;

	final Tuning tuning;

	private final List<FairQueue<Flight>> lanes = new ArrayList<>();

	private final List<List<Flight>> begun = new ArrayList<>();

	private int size;

	WaitingLine(String policy, PolicyBehaviour behaviour, Tuning tuning) {
		this.policy = policy;
		this.behaviour = behaviour;
		this.tuning = tuning;
		for (int i = 0; i < LANES; i++) {
			this.lanes.add(new FairQueue<>());
			this.begun.add(new ArrayList<>());
		}
	}

	void add(Flight flight) {
		flight.line = this;
		flight.state = Flight.State.WAITING;
		int lane = lane(flight);
		if (flight.isPicky() || !flight.isUntouched()) {
			this.begun.get(lane).add(flight);
		}
		else {
			this.lanes.get(lane).add(this.behaviour.flow(flight), flight);
		}
		this.size++;
	}

	void remove(Flight flight) {
		int lane = lane(flight);
		boolean removed = this.begun.get(lane).remove(flight)
				|| this.lanes.get(lane).remove(this.behaviour.flow(flight), flight);
		this.size -= (removed) ? 1 : 0;
	}

	// Take a flight out because it goes to an endpoint.
	void serve(Flight flight, double expectedTokens) {
		int lane = lane(flight);
		if (!this.begun.get(lane).remove(flight)) {
			this.lanes.get(lane).serve(this.behaviour.flow(flight), flight, expectedTokens / flight.weight);
		}
		this.size--;
	}

	// Return the flight that is served next in a lane. Once the oldest of the flow has
	// used up half of its time, the newest goes first (adaptive LIFO, Maurer 2015): under
	// overload a queue in order of arrival serves each request just too late, while this
	// order keeps the time of those that can still make it.
	Optional<Flight> next(int lane, long now) {
		FairQueue<Flight> queue = this.lanes.get(lane);
		Optional<Flight> oldest = queue.oldest();
		if (!this.behaviour.heedsTargets() || oldest.isEmpty()) {
			return oldest;
		}
		Flight flight = oldest.get();
		boolean overloaded = 2 * (now - flight.arrivedAt) > flight.targetAt - flight.arrivedAt;
		return (overloaded) ? queue.newest() : oldest;
	}

	// Return the next of those that were begun and that any endpoint may go on with, or
	// else
	// the next of the lane.
	Optional<Flight> nextBegunFirst(int lane, long now) {
		Optional<Flight> first = this.begun.get(lane).stream().filter((flight) -> !flight.isPicky()).findFirst();
		return (first.isPresent()) ? first : next(lane, now);
	}

	List<Flight> begun(int lane) {
		return this.begun.get(lane);
	}

	int size() {
		return this.size;
	}

	int sizeOfFlow(Flight flight) {
		return this.lanes.get(lane(flight)).sizeOf(this.behaviour.flow(flight));
	}

	// Return how many are served before a new request: all of the lanes before it, and of
	// its own lane as many of each flow as of its own, for flows take turns.
	int aheadOf(Flight flight) {
		int lane = lane(flight);
		FairQueue<Flight> own = this.lanes.get(lane);
		int before = sizeUpTo(lane) - own.size();
		int turns = (own.sizeOf(this.behaviour.flow(flight)) + 1) * own.flows();
		return before + Math.min(own.size(), turns);
	}

	// Return how many wait in a lane and the lanes before it.
	int sizeUpTo(int lane) {
		int count = 0;
		for (int i = 0; i <= lane; i++) {
			count += this.lanes.get(i).size() + this.begun.get(i).size();
		}
		return count;
	}

	void forEach(Consumer<Flight> action) {
		this.lanes.forEach((lane) -> lane.forEach(action));
		this.begun.forEach((list) -> list.forEach(action));
	}

	private int lane(Flight flight) {
		return this.behaviour.lane(flight.requestClass.tier());
	}

}
