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
 * Invariant: a waiting request is in exactly one lane or list.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class PolicyQueue {

	static final int LANE_COUNT = Tier.values().length;

	final String policy;

	final PolicyBehaviour behaviour;

	final PolicySettings settings;

	private final List<FairQueue<PendingRequest>> lanes = new ArrayList<>();

	private final List<List<PendingRequest>> requeued = new ArrayList<>();

	private int size;

	PolicyQueue(String policy, PolicyBehaviour behaviour, PolicySettings settings) {
		this.policy = policy;
		this.behaviour = behaviour;
		this.settings = settings;
		for (int i = 0; i < LANE_COUNT; i++) {
			this.lanes.add(new FairQueue<>());
			this.requeued.add(new ArrayList<>());
		}
	}

	void add(PendingRequest pending) {
		pending.queue = this;
		pending.state = PendingRequest.State.WAITING;
		int lane = lane(pending);
		if (pending.isConstrained() || !pending.isUndispatched()) {
			this.requeued.get(lane).add(pending);
		}
		else {
			this.lanes.get(lane).add(this.behaviour.flow(pending), pending);
		}
		this.size++;
	}

	void remove(PendingRequest pending) {
		int lane = lane(pending);
		boolean removed = this.requeued.get(lane).remove(pending)
				|| this.lanes.get(lane).remove(this.behaviour.flow(pending), pending);
		this.size -= (removed) ? 1 : 0;
	}

	// Take a request out because it goes to an endpoint.
	void serve(PendingRequest pending, double expectedTokens) {
		int lane = lane(pending);
		if (!this.requeued.get(lane).remove(pending)) {
			this.lanes.get(lane).serve(this.behaviour.flow(pending), pending, expectedTokens / pending.weight);
		}
		this.size--;
	}

	// Return the request that is served next in a lane. Once the oldest of the flow has
	// used up half of its time, the newest goes first (adaptive LIFO, Maurer 2015): under
	// overload a queue in order of arrival serves each request just too late, while this
	// order keeps the time of those that can still make it.
	Optional<PendingRequest> next(int lane, long now) {
		FairQueue<PendingRequest> fairQueue = this.lanes.get(lane);
		Optional<PendingRequest> oldest = fairQueue.oldest();
		if (!this.behaviour.enforcesTargets() || oldest.isEmpty()) {
			return oldest;
		}
		PendingRequest pending = oldest.get();
		boolean overloaded = 2 * (now - pending.arrivedAt) > pending.targetAt - pending.arrivedAt;
		return (overloaded) ? fairQueue.newest() : oldest;
	}

	// Return the next of those that were begun and that any endpoint may go on with, or
	// else the next of the lane.
	Optional<PendingRequest> nextRequeuedFirst(int lane, long now) {
		Optional<PendingRequest> first = this.requeued.get(lane)
			.stream()
			.filter((pending) -> !pending.isConstrained())
			.findFirst();
		return (first.isPresent()) ? first : next(lane, now);
	}

	List<PendingRequest> requeued(int lane) {
		return this.requeued.get(lane);
	}

	int size() {
		return this.size;
	}

	int sizeOfFlow(PendingRequest pending) {
		return this.lanes.get(lane(pending)).sizeOf(this.behaviour.flow(pending));
	}

	// Return how many are served before a new request: all of the lanes before it, and of
	// its own lane as many of each flow as of its own, for flows take turns.
	int aheadOf(PendingRequest pending) {
		int lane = lane(pending);
		FairQueue<PendingRequest> own = this.lanes.get(lane);
		int before = sizeUpTo(lane) - own.size();
		int turns = (own.sizeOf(this.behaviour.flow(pending)) + 1) * own.flows();
		return before + Math.min(own.size(), turns);
	}

	// Return how many wait in a lane and the lanes before it.
	int sizeUpTo(int lane) {
		int count = 0;
		for (int i = 0; i <= lane; i++) {
			count += this.lanes.get(i).size() + this.requeued.get(i).size();
		}
		return count;
	}

	void forEach(Consumer<PendingRequest> action) {
		this.lanes.forEach((lane) -> lane.forEach(action));
		this.requeued.forEach((list) -> list.forEach(action));
	}

	private int lane(PendingRequest pending) {
		return this.behaviour.lane(pending.requestClass.tier());
	}

}
