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
 * Some replicas on a fake network and fake disks in virtual time, with faults drawn from
 * a seed. The same seed gives the same run.
 */
class SimulatedCluster {

	static final long MILLISECOND = 1_000_000;

	private static final long TICK = 10 * MILLISECOND;

	final long seed;

	final Random random;

	final Faults faults;

	final History history = new History();

	final Map<String, SimulatedNode> nodes = new TreeMap<>();

	final Map<String, Long> injected = new TreeMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Map<ReplicaId, SimulatedNode> byId = new HashMap<>();

	private final List<Object> registry = new ArrayList<>();

	private final Set<String> cuts = new HashSet<>();

	private long lastNumber;

	private double lossRate;

	private double crashRate;

	private double slowRate;

	private boolean calm;

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
			at(this.now + TICK, vm, () -> tick(vm));
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
		this.byId.put(id, node);
		return node;
	}

	SimulatedNode randomNode() {
		return new ArrayList<>(this.nodes.values()).get(this.random.nextInt(this.nodes.size()));
	}

	/** Runs until a time; faults and operations come as the caller injects them. */
	void runUntil(long end) {
		while (!this.events.isEmpty() && this.events.peek().at <= end) {
			Event event = this.events.poll();
			this.now = Math.max(this.now, event.at);
			SimulatedNode node = this.nodes.get(event.vm);
			if (node == null) {
				// The VM was replaced for good: what was meant for it is lost.
				continue;
			}
			if (node.frozenUntil > this.now) {
				this.events.add(new Event(node.frozenUntil, nextNumber(), event.vm, event.action));
				continue;
			}
			this.steps++;
			event.action.run();
			// Several events may share a sync; long stalls of the disk come with the
			// faults.
			if (node.up && (this.calm || this.random.nextInt(3) > 0)) {
				node.flush();
			}
			checkHolders();
		}
		this.now = end;
	}

	void runFor(long millis) {
		runUntil(this.now + millis * MILLISECOND);
	}

	void send(String from, ReplicaId to, ReplicaMessage message) {
		SimulatedNode receiver = this.byId.get(to);
		int copies = (this.random.nextDouble() < this.lossRate / 2) ? 2 : 1;
		if (copies == 2) {
			count("duplicated message");
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
		if (lost || (!this.cuts.isEmpty() && this.cuts.contains(from + ">" + to.vm))) {
			count("lost message");
			return;
		}
		long slow = (this.random.nextDouble() < this.slowRate) ? 60 * MILLISECOND : MILLISECOND;
		long delay = 200_000 + (long) (this.random.nextDouble() * slow);
		at(this.now + delay, to.vm, () -> {
			SimulatedNode node = this.nodes.get(to.vm);
			if (node.up) {
				action.accept(node);
			}
		});
	}

	void acquire(SimulatedNode asking, long request) {
		call(asking.vm, randomNode(), (node) -> {
			if (!node.mayPropose()) {
				return;
			}
			Command command = new Command.AcquireLease(node.proposedAt(), "writer", asking.holderName,
					SimulatedNode.LEASE_TIMING.durationNanos() / MILLISECOND);
			node.propose(command, (result) -> {
				LeaseResult lease = (LeaseResult) result;
				call(node.vm, asking, (holder) -> {
					if (holder == asking && lease.code() == ResultCode.OK) {
						holder.holder.granted(request, lease.fencingNumber());
					}
					else if (holder == asking) {
						holder.holder.refused(request, true);
					}
				});
			});
		});
	}

	/** Operators race: several propose the same number, also to a leader of old. */
	void operate(SimulatedNode node) {
		if (!node.up || node.frozenUntil > this.now || !node.mayPropose()) {
			return;
		}
		TreeMap<String, java.util.SortedMap<String, String>> sections = new TreeMap<>();
		sections.put("a", new TreeMap<>(Map.of("k", Long.toString(nextNumber()))));
		ManifestDocument next = new ManifestDocument(sections);
		ManifestDocument base = node.state.document();
		Command put = new Command.PutManifest(node.proposedAt(), node.state.number() + this.random.nextInt(2),
				next.digest(), base.digest(), base.deltaTo(next), "operator");
		node.propose(put, (result) -> this.history.acknowledged(result, node.appliedIndex));
	}

	// Callers resend a request through other VMs; only one may be let through.
	void claim(SimulatedNode node) {
		if (!node.up || node.frozenUntil > this.now || !node.mayPropose()) {
			return;
		}
		ClaimKey key = new ClaimKey("customer", "key" + this.random.nextInt(5));
		String owner = "entry#" + nextNumber();
		Command claim = new Command.Claim(node.proposedAt(), key, "content", owner);
		node.propose(claim, (result) -> {
			if (((ClaimResult) result).granted() && this.random.nextBoolean()) {
				at(this.now, node.vm, () -> notRun(node, key, owner));
			}
		});
	}

	private static void notRun(SimulatedNode node, ClaimKey key, String owner) {
		if (node.up && node.mayPropose()) {
			node.propose(new Command.CompleteClaim(node.proposedAt(), key, owner, ClaimOutcome.NOT_RUN, new byte[0]),
					(result) -> {
					});
		}
	}

	// A frozen node finds the request when it wakes, perhaps before it notices the time.
	void read() {
		SimulatedNode asked = randomNode();
		at(this.now, asked.vm, () -> {
			SimulatedNode node = this.nodes.get(asked.vm);
			if (node.up) {
				read(node);
			}
		});
	}

	private void read(SimulatedNode node) {
		long number = this.history.acknowledgedNumber();
		long index = this.history.acknowledgedIndex();
		node.read(() -> {
			History.check(node.appliedIndex >= index, "a linearizable read is behind entry " + index);
			History.check(node.state.number() >= number, "a linearizable read is behind manifest " + number);
		});
	}

	boolean mayCrash(SimulatedNode node, int weight) {
		if (this.random.nextDouble() < this.crashRate * weight) {
			crashFor(node, this.random.nextInt((weight > 1 || this.random.nextBoolean()) ? 3 : 200));
		}
		return !node.up;
	}

	// Two late transfers of leadership make two candidates in one term, which may not
	// hear each other: only the votes of the others keep them apart.
	void raceElection() {
		SimulatedNode leader = leader();
		if (leader == null) {
			return;
		}
		count("raced election");
		boolean cut = this.random.nextBoolean();
		ReplicaMessage message = new ReplicaMessage.TimeoutNow(leader.id, leader.replica.status().term());
		List<SimulatedNode> candidates = this.nodes.values()
			.stream()
			.filter((node) -> node != leader)
			.limit(2)
			.toList();
		for (SimulatedNode node : candidates) {
			call(leader.vm, node, (candidate) -> candidate.replica.receive(message, candidate.monotonic()));
			if (cut) {
				candidates.forEach((other) -> cut(node.vm, other.vm));
			}
		}
	}

	void crashFor(SimulatedNode node, long millis) {
		if (node.up) {
			crash(node);
			at(this.now + millis * MILLISECOND, node.vm, () -> restart(node));
		}
	}

	void crash(SimulatedNode node) {
		count("crash");
		node.up = false;
		node.disk.crash(this.random);
	}

	void restart(SimulatedNode node) {
		if (this.nodes.get(node.vm) == node && !node.up) {
			start(node.vm, node.id, node.disk);
		}
	}

	/** The disk is gone; an empty one takes its place, at once or when the VM is back. */
	SimulatedNode loseDisk(SimulatedNode node) {
		count("lost disk");
		node.up = false;
		ReplicaId id = this.faults.identityAfterDiskLoss(node.id, new ReplicaId(nextNumber()));
		return start(node.vm, id, this.faults.newDisk());
	}

	/** The VM is gone for good, and an empty one with another name takes its place. */
	SimulatedNode replace(SimulatedNode gone) {
		count("replaced VM");
		gone.up = false;
		this.nodes.remove(gone.vm);
		String vm = "vm" + nextNumber();
		SimulatedNode fresh = start(vm, new ReplicaId(nextNumber()), this.faults.newDisk());
		at(this.now + TICK, vm, () -> tick(vm));
		return fresh;
	}

	boolean isRepaired() {
		return this.nodes.values()
			.stream()
			.filter((node) -> node.replica.isLeader() && node.up)
			.anyMatch((node) -> node.replica.isMembershipCommitted()
					&& node.replica.membership().voters().equals(currentIds()) && hasNoLearners(node));
	}

	void freeze(SimulatedNode node, long millis) {
		count("freeze");
		node.checkedBeforeFreeze = node.holder.fencingNumber(node.monotonic());
		node.frozenUntil = this.now + millis * MILLISECOND;
	}

	void cut(String from, String to) {
		count("cut");
		this.cuts.add(from + ">" + to);
	}

	void isolate(String vm) {
		this.nodes.keySet().forEach((other) -> {
			cut(vm, other);
			cut(other, vm);
		});
	}

	void heal() {
		this.cuts.clear();
	}

	void rates(double loss, double crash, double slow) {
		this.lossRate = loss;
		this.slowRate = slow;
		this.crashRate = crash;
	}

	/** All faults end; whoever is down starts again. */
	void calm() {
		this.calm = true;
		heal();
		rates(0, 0, 0);
		List.copyOf(this.nodes.values()).forEach((node) -> {
			node.frozenUntil = 0;
			restart(node);
		});
	}

	SimulatedNode leader() {
		return this.nodes.values()
			.stream()
			.filter((node) -> node.up && node.mayPropose())
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

	void count(String fault) {
		this.injected.merge(fault, 1L, Long::sum);
	}

	private void tick(String vm) {
		SimulatedNode node = this.nodes.get(vm);
		if (node.up) {
			node.tick();
		}
		at(this.now + TICK, vm, () -> tick(vm));
	}

	private void checkHolders() {
		int holders = 0;
		for (SimulatedNode node : this.nodes.values()) {
			holders += (acts(node)) ? 1 : 0;
		}
		History.check(holders <= 1, "two holders of a lease act");
	}

	private boolean acts(SimulatedNode node) {
		OptionalLong number = (node.up && node.frozenUntil <= this.now) ? this.faults.checkLease(node)
				: OptionalLong.empty();
		return number.isPresent();
	}

	private Set<ReplicaId> currentIds() {
		Set<ReplicaId> ids = new HashSet<>();
		this.nodes.values().forEach((node) -> ids.add(node.id));
		return ids;
	}

	private static boolean hasNoLearners(SimulatedNode node) {
		return node.replica.membership().members().stream().allMatch(Member::voter);
	}

	private void at(long time, String vm, Runnable action) {
		this.events.add(new Event(time, nextNumber(), vm, action));
	}

	/** Events at the same time come in the order in which they were made. */
	private record Event(long at, long number, String vm, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.at, other.at);
			return (byTime != 0) ? byTime : Long.compare(this.number, other.number);
		}

	}

}
