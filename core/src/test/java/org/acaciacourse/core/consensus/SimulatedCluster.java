package org.acaciacourse.core.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.manifest.ManifestDocument;
import org.acaciacourse.core.state.ClaimKey;
import org.acaciacourse.core.state.ClaimOutcome;
import org.acaciacourse.core.state.Command;
import org.acaciacourse.core.state.CommandResult.ClaimResult;
import org.acaciacourse.core.state.CommandResult.LeaseResult;

/**
 * A cluster of replicas on a simulated network and simulated disks in virtual time, with
 * faults drawn from a seed. The same seed gives the same run.
 */
class SimulatedCluster {

	static final long MILLISECOND = 1_000_000;

	private static final long TICK = 10 * MILLISECOND;

	final long seed;

	final Random random;

	final Faults faults;

	final History history = new History();

	final Map<String, SimulatedNode> nodes = new TreeMap<>();

	final Map<String, Long> faultCounts = new TreeMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final PriorityQueue<Event> outside = new PriorityQueue<>();

	private final Map<ReplicaId, SimulatedNode> nodesById = new HashMap<>();

	private final List<Object> registry = new ArrayList<>();

	private final Set<String> cutLinks = new HashSet<>();

	private long lastNumber;

	private double lossRate;

	private double crashRate;

	private double slowRate;

	private boolean faultsStopped;

	long now = 1_000 * MILLISECOND;

	long steps;

	SimulatedCluster(long seed, int size, Faults faults) {
		this.seed = seed;
		this.random = new Random(seed * 7_919 + 17);
		this.faults = faults;
		for (int i = 0; i < size; i++) {
			SimulatedDisk disk = faults.newDisk();
			ReplicaId id = new ReplicaId(nextNumber());
			String vm = "vm" + i;
			if (i == 0) {
				disk.format(RecoveredLog.bootstrap(new Member(id, vm, vm, true)));
			}
			start(vm, id, disk);
			schedule(this.now + TICK, vm, () -> tick(vm));
		}
	}

	long nextNumber() {
		return ++this.lastNumber;
	}

	long register(Object object) {
		this.registry.add(object);
		return this.registry.size() - 1;
	}

	Object registered(long number) {
		return this.registry.get((int) number);
	}

	Command command(long number) {
		return (Command) registered(number);
	}

	SimulatedNode start(String vm, ReplicaId id, SimulatedDisk disk) {
		SimulatedNode node = new SimulatedNode(this, vm, id, disk);
		this.nodes.put(vm, node);
		this.nodesById.put(id, node);
		return node;
	}

	SimulatedNode randomNode() {
		return new ArrayList<>(this.nodes.values()).get(this.random.nextInt(this.nodes.size()));
	}

	/** Runs the events up to a time. Faults and operations are injected by the caller. */
	void runUntil(long end) {
		while (!this.outside.isEmpty() && this.outside.peek().at <= end) {
			Event event = this.outside.poll();
			runEventsUntil(event.at);
			event.action.run();
		}
		runEventsUntil(end);
	}

	private void runEventsUntil(long end) {
		while (!this.events.isEmpty() && this.events.peek().at <= end) {
			Event event = this.events.poll();
			this.now = Math.max(this.now, event.at);
			SimulatedNode node = this.nodes.get(event.vm);
			if (node == null) {
				// The VM was replaced permanently: events for it are lost.
				continue;
			}
			if (node.frozenUntil > this.now) {
				this.events.add(new Event(node.frozenUntil, nextNumber(), event.vm, event.action));
				continue;
			}
			this.steps++;
			event.action.run();
			// Several events may share a sync. Longer disk stalls are injected as faults.
			if (node.up && (this.faultsStopped || this.random.nextInt(3) > 0)) {
				node.flush();
			}
			checkLeaseHolders();
			eventProcessed();
		}
		this.now = end;
	}

	/** Called after each event, for what runs beside the replicas. */
	void eventProcessed() {
	}

	void runFor(long millis) {
		runUntil(this.now + millis * MILLISECOND);
	}

	void send(String from, ReplicaId to, ReplicaMessage message) {
		SimulatedNode receiver = this.nodesById.get(to);
		int copies = (this.random.nextDouble() < this.lossRate / 2) ? 2 : 1;
		if (copies == 2) {
			countFault("duplicated message");
		}
		for (int i = 0; i < copies; i++) {
			call(from, receiver, (node) -> {
				if (node.id.equals(to)) {
					node.replica.receive(message, node.monotonic());
				}
			});
		}
	}

	void call(String from, SimulatedNode to, Consumer<SimulatedNode> action) {
		boolean lost = !from.equals(to.vm) && this.random.nextDouble() < this.lossRate;
		if (lost || (!this.cutLinks.isEmpty() && this.cutLinks.contains(from + ">" + to.vm))) {
			countFault("lost message");
			return;
		}
		long maxJitter = (this.random.nextDouble() < this.slowRate) ? 60 * MILLISECOND : MILLISECOND;
		long delay = 200_000 + (long) (this.random.nextDouble() * maxJitter);
		schedule(this.now + delay, to.vm, () -> {
			SimulatedNode node = this.nodes.get(to.vm);
			if (node.up) {
				action.accept(node);
			}
		});
	}

	void acquireLease(SimulatedNode requester, long request) {
		call(requester.vm, randomNode(), (node) -> {
			if (!node.canPropose()) {
				return;
			}
			Command command = new Command.AcquireLease(node.proposedAt(), "writer", requester.leaseHolderName,
					SimulatedNode.LEASE_TIMING.durationNanos() / MILLISECOND);
			node.propose(command, (result) -> {
				LeaseResult lease = (LeaseResult) result;
				call(node.vm, requester, (holder) -> {
					if (holder == requester && lease.code() == ResultCode.OK) {
						holder.leaseHolder.granted(request, lease.fencingNumber());
					}
					else if (holder == requester) {
						holder.leaseHolder.refused(request, true);
					}
				});
			});
		});
	}

	/**
	 * Proposes a new manifest. Several operators may propose the same number
	 * concurrently, and may also do so at a former leader.
	 */
	void proposeManifest(SimulatedNode node) {
		if (!node.up || node.frozenUntil > this.now || !node.canPropose()) {
			return;
		}
		TreeMap<String, java.util.SortedMap<String, String>> sections = new TreeMap<>();
		sections.put("a", new TreeMap<>(Map.of("k", Long.toString(nextNumber()))));
		ManifestDocument next = new ManifestDocument(sections);
		ManifestDocument base = node.state.manifestDocument();
		Command put = new Command.PutManifest(node.proposedAt(), node.state.manifestNumber() + this.random.nextInt(2),
				next.digest(), base.digest(), base.deltaTo(next), "operator");
		node.propose(put, (result) -> this.history.acknowledged(result, node.appliedIndex));
	}

	// Proposes a claim. Clients resend a request through other VMs, and only one of them
	// may be granted the claim.
	void proposeClaim(SimulatedNode node) {
		if (!node.up || node.frozenUntil > this.now || !node.canPropose()) {
			return;
		}
		ClaimKey key = new ClaimKey("customer", "key" + this.random.nextInt(5));
		String owner = "entry#" + nextNumber();
		Command claim = new Command.Claim(node.proposedAt(), key, "content", owner);
		node.propose(claim, (result) -> {
			if (((ClaimResult) result).granted() && this.random.nextBoolean()) {
				schedule(this.now, node.vm, () -> releaseClaim(node, key, owner));
			}
		});
	}

	private static void releaseClaim(SimulatedNode node, ClaimKey key, String owner) {
		if (node.up && node.canPropose()) {
			node.propose(new Command.CompleteClaim(node.proposedAt(), key, owner, ClaimOutcome.NOT_RUN, new byte[0]),
					(result) -> {
					});
		}
	}

	// Requests a linearizable read at a random node. A frozen node processes the request
	// when it resumes, possibly before it notices that time has passed.
	void requestRead() {
		SimulatedNode receiver = randomNode();
		schedule(this.now, receiver.vm, () -> {
			SimulatedNode node = this.nodes.get(receiver.vm);
			if (node.up) {
				requestRead(node);
			}
		});
	}

	private void requestRead(SimulatedNode node) {
		long number = this.history.acknowledgedNumber();
		long index = this.history.acknowledgedIndex();
		node.read(() -> {
			History.check(node.appliedIndex >= index, "stale linearizable read: entry " + index + " is not applied");
			History.check(node.state.manifestNumber() >= number,
					"stale linearizable read: manifest " + number + " is not applied");
		});
	}

	boolean crashAtRandom(SimulatedNode node, int weight) {
		if (this.random.nextDouble() < this.crashRate * weight) {
			crashFor(node, this.random.nextInt((weight > 1 || this.random.nextBoolean()) ? 3 : 200));
		}
		return !node.up;
	}

	// Makes two nodes candidates in the same term by two delayed leadership transfers.
	// The candidates may be unable to reach each other, so that only the votes of the
	// other nodes prevent two leaders.
	void startTwoCandidates() {
		SimulatedNode leader = leader();
		if (leader == null) {
			return;
		}
		countFault("two candidates");
		boolean cutCandidates = this.random.nextBoolean();
		ReplicaMessage message = new ReplicaMessage.TimeoutNow(leader.id, leader.replica.status().term());
		List<SimulatedNode> candidates = this.nodes.values()
			.stream()
			.filter((node) -> node != leader)
			.limit(2)
			.toList();
		for (SimulatedNode node : candidates) {
			call(leader.vm, node, (candidate) -> candidate.replica.receive(message, candidate.monotonic()));
			if (cutCandidates) {
				candidates.forEach((other) -> cutLink(node.vm, other.vm));
			}
		}
	}

	void crashFor(SimulatedNode node, long millis) {
		if (node.up) {
			crash(node);
			schedule(this.now + millis * MILLISECOND, node.vm, () -> restart(node));
		}
	}

	void crash(SimulatedNode node) {
		countFault("crash");
		node.up = false;
		node.disk.crash(this.random);
	}

	void restart(SimulatedNode node) {
		if (this.nodes.get(node.vm) == node && !node.up) {
			start(node.vm, node.id, node.disk);
		}
	}

	/** Replaces a node's disk with an empty one and restarts the replica from it. */
	SimulatedNode loseDisk(SimulatedNode node) {
		countFault("lost disk");
		node.up = false;
		ReplicaId id = this.faults.identityAfterDiskLoss(node.id, new ReplicaId(nextNumber()));
		return start(node.vm, id, this.faults.newDisk());
	}

	/** Replaces a VM permanently by an empty one with another name. */
	SimulatedNode replace(SimulatedNode replaced) {
		countFault("replaced VM");
		replaced.up = false;
		this.nodes.remove(replaced.vm);
		String vm = "vm" + nextNumber();
		SimulatedNode replacement = start(vm, new ReplicaId(nextNumber()), this.faults.newDisk());
		schedule(this.now + TICK, vm, () -> tick(vm));
		return replacement;
	}

	boolean isRepaired() {
		return this.nodes.values()
			.stream()
			.filter((node) -> node.replica.isLeader() && node.up)
			.anyMatch((node) -> node.replica.isMembershipCommitted()
					&& node.replica.membership().voters().equals(nodeIds()) && hasNoLearners(node));
	}

	void freeze(SimulatedNode node, long millis) {
		countFault("freeze");
		node.fencingNumberBeforeFreeze = node.leaseHolder.fencingNumber(node.monotonic());
		node.frozenUntil = this.now + millis * MILLISECOND;
	}

	void cutLink(String from, String to) {
		countFault("cut");
		this.cutLinks.add(from + ">" + to);
	}

	void isolate(String vm) {
		this.nodes.keySet().forEach((other) -> {
			cutLink(vm, other);
			cutLink(other, vm);
		});
	}

	void heal() {
		this.cutLinks.clear();
	}

	void setFaultRates(double loss, double crash, double slow) {
		this.lossRate = loss;
		this.slowRate = slow;
		this.crashRate = crash;
	}

	/** Stops all faults and restarts all nodes that are down. */
	void stopFaults() {
		this.faultsStopped = true;
		heal();
		setFaultRates(0, 0, 0);
		List.copyOf(this.nodes.values()).forEach((node) -> {
			node.frozenUntil = 0;
			restart(node);
		});
	}

	SimulatedNode leader() {
		return this.nodes.values()
			.stream()
			.filter((node) -> node.up && node.canPropose())
			.max((a, b) -> Long.compare(a.replica.status().term(), b.replica.status().term()))
			.orElse(null);
	}

	String describe() {
		StringBuilder text = new StringBuilder();
		this.nodes.values()
			.forEach((node) -> text.append(node.replica)
				.append(" of ")
				.append(node.replica.membership())
				.append(" up ")
				.append(node.up)
				.append(" applied ")
				.append(node.appliedIndex)
				.append('\n'));
		return text.toString();
	}

	void countFault(String fault) {
		this.faultCounts.merge(fault, 1L, Long::sum);
	}

	private void tick(String vm) {
		SimulatedNode node = this.nodes.get(vm);
		if (node.up) {
			node.tick();
		}
		schedule(this.now + TICK, vm, () -> tick(vm));
	}

	private void checkLeaseHolders() {
		int holders = 0;
		for (SimulatedNode node : this.nodes.values()) {
			holders += (holdsLease(node)) ? 1 : 0;
		}
		History.check(holders <= 1, "two nodes hold the lease at once");
	}

	private boolean holdsLease(SimulatedNode node) {
		OptionalLong number = (node.up && node.frozenUntil <= this.now) ? this.faults.fencingNumber(node)
				: OptionalLong.empty();
		return number.isPresent();
	}

	private Set<ReplicaId> nodeIds() {
		Set<ReplicaId> ids = new HashSet<>();
		this.nodes.values().forEach((node) -> ids.add(node.id));
		return ids;
	}

	private static boolean hasNoLearners(SimulatedNode node) {
		return node.replica.membership().members().stream().allMatch(Member::voter);
	}

	/** Schedules an action that belongs to no VM. */
	void runAfter(long millis, Runnable action) {
		this.outside.add(new Event(this.now + millis * MILLISECOND, nextNumber(), "", action));
	}

	void scheduleAt(long time, String vm, Runnable action) {
		schedule(time, vm, action);
	}

	private void schedule(long time, String vm, Runnable action) {
		this.events.add(new Event(time, nextNumber(), vm, action));
	}

	/** An event. Events at the same time are processed in the order of their creation. */
	private record Event(long at, long number, String vm, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.at, other.at);
			return (byTime != 0) ? byTime : Long.compare(this.number, other.number);
		}

	}

}
