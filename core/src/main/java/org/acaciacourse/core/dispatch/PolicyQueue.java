package org.acaciacourse.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.acaciacourse.core.dispatch.queue.FairQueue;
import org.acaciacourse.core.model.Tier;

/**
 * The waiting requests of one policy at one endpoint set. There is a lane for each tier,
 * and for each lane a list of requests that were dispatched before or that only some
 * endpoints may serve. The list is served first, because responses in it are already
 * partly delivered; a request in it that only some endpoints may serve does not block the
 * others.
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

	// Removes a request that is sent to an endpoint and charges its flow.
	void serve(PendingRequest pending, double expectedTokens) {
		int lane = lane(pending);
		if (!this.requeued.get(lane).remove(pending)) {
			this.lanes.get(lane).serve(this.behaviour.flow(pending), pending, expectedTokens / pending.weight);
		}
		this.size--;
	}

	// Returns the request of a lane to serve next. Once the oldest request of the flow
	// has used half of the time to its target, the newest one is served first (adaptive
	// LIFO, Maurer 2015): under overload, FIFO order serves every request just too late,
	// while LIFO order serves those that can still meet their target.
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

	// Returns the first requeued request without constraints, or else the next one of the
	// lane.
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

	// Returns how many requests are served before a new one: all of the higher lanes, and
	// in its own lane as many of each flow as of its own, because flows alternate.
	int aheadOf(PendingRequest pending) {
		int lane = lane(pending);
		FairQueue<PendingRequest> own = this.lanes.get(lane);
		int before = sizeUpTo(lane) - own.size();
		int turns = (own.sizeOf(this.behaviour.flow(pending)) + 1) * own.flows();
		return before + Math.min(own.size(), turns);
	}

	// Returns how many requests wait in a lane and all lanes above it.
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
