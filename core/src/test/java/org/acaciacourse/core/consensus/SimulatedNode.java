package org.acaciacourse.core.consensus;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.acaciacourse.core.lease.LeaseHolder;
import org.acaciacourse.core.lease.LeaseTiming;
import org.acaciacourse.core.state.Command;
import org.acaciacourse.core.state.CommandResult;
import org.acaciacourse.core.state.ControlState;
import org.acaciacourse.core.state.ControlStateSnapshot;
import org.acaciacourse.core.state.ProposalClock;

/**
 * A replica on a VM of the {@link SimulatedCluster}, with its own disk, state machine and
 * clock, and a holder of the lease "writer".
 */
class SimulatedNode implements ReplicaActions {

	static final ReplicaTiming TIMING = new ReplicaTiming(20_000_000, 100_000_000, 64, 256);

	static final LeaseTiming LEASE_TIMING = new LeaseTiming(300_000_000, 60_000_000, 20, 5_000_000);

	private final SimulatedCluster cluster;

	final String vm;

	final ReplicaId id;

	final SimulatedDisk disk;

	final LeaseHolder leaseHolder = new LeaseHolder(LEASE_TIMING);

	final String leaseHolderName;

	private final MembershipManager manager = new MembershipManager();

	private final List<Runnable> outbox = new ArrayList<>();

	private final Map<Long, Consumer<CommandResult>> proposals = new HashMap<>();

	private final Map<Long, Runnable> reads = new HashMap<>();

	private final TreeMap<Long, List<Runnable>> readsByIndex = new TreeMap<>();

	ControlState state = new ControlState();

	Replica replica;

	long appliedIndex;

	private long appliedTerm;

	private Optional<ProposalClock> proposalClock = Optional.empty();

	private long leaderTerm;

	boolean up = true;

	long frozenUntil;

	private boolean votePending;

	OptionalLong fencingNumberBeforeFreeze = OptionalLong.empty();

	SimulatedNode(SimulatedCluster cluster, String vm, ReplicaId id, SimulatedDisk disk) {
		this.cluster = cluster;
		this.vm = vm;
		this.id = id;
		this.disk = disk;
		this.leaseHolderName = vm + "-" + cluster.nextNumber();
		RecoveredLog recovered = disk.recover();
		recovered.snapshot().ifPresent(this::restore);
		this.replica = new Replica(id, vm, recovered, TIMING, cluster.nextNumber() * 31 + cluster.seed, this,
				monotonic());
	}

	/**
	 * Return the time of the VM's monotonic clock. Clock rates differ by up to 0.2
	 * percent and clock origins by hours; the wall clocks differ by up to 20 seconds.
	 */
	long monotonic() {
		return this.cluster.now / 1_000 * rate() + this.vm.hashCode() * 1_000_000L;
	}

	long thawedAt() {
		return this.frozenUntil / 1_000 * rate() + this.vm.hashCode() * 1_000_000L;
	}

	long wallMillis() {
		return 50_000 + this.cluster.now / 1_000_000 + (this.vm.hashCode() % 3) * 10_000L;
	}

	long proposedAt() {
		return this.cluster.faults.proposedAt(this, this.proposalClock);
	}

	void tick() {
		this.replica.tick(monotonic());
		if (this.replica.isLeader()) {
			this.manager.observe(this.replica.membership(), (member) -> this.replica.isInContact(member, monotonic()),
					monotonic());
			this.manager
				.nextMembership(this.replica.membership(), this.replica.isMembershipCommitted(),
						this.replica.status().commitIndex(), this.replica::matchIndex,
						(member) -> this.replica.isInContact(member, monotonic()))
				.ifPresent((next) -> this.replica.changeMembership(-this.cluster.nextNumber(), next, monotonic()));
		}
		else if (this.replica.needsToJoin(monotonic())) {
			Member joiner = new Member(this.id, this.vm, this.vm, false);
			this.cluster.call(this.vm, this.cluster.randomNode(), (node) -> {
				if (node.replica.isLeader()) {
					node.manager.addJoinRequest(joiner);
				}
			});
		}
		this.leaseHolder.requestIfDue(monotonic()).ifPresent((request) -> this.cluster.acquireLease(this, request));
	}

	void propose(Command command, Consumer<CommandResult> done) {
		long number = this.cluster.register(command);
		byte[] payload = ByteBuffer.allocate(Long.BYTES).putLong(number).array();
		long index = this.replica.propose(number, payload, monotonic());
		if (index >= 0) {
			this.proposals.put(number, done);
		}
	}

	void read(Runnable served) {
		long number = this.cluster.nextNumber();
		this.reads.put(number, served);
		this.replica.read(number, monotonic());
	}

	// Does one sync for all events since the last one and then sends the messages, as the
	// daemon does.
	void flush() {
		long index = this.disk.lastWrittenIndex();
		long term = this.disk.lastWrittenTerm();
		boolean dirty = this.disk.isDirty();
		// Votes are rare, and an election must survive a crash right after one, so
		// crashes are more likely here.
		int weight = (this.votePending) ? 10 : 1;
		if (dirty && this.cluster.crashAtRandom(this, weight)) {
			return;
		}
		this.disk.sync();
		if (dirty && this.cluster.crashAtRandom(this, weight)) {
			return;
		}
		this.outbox.forEach(Runnable::run);
		this.outbox.clear();
		this.votePending = false;
		if (!dirty || !this.cluster.crashAtRandom(this, 5 * weight)) {
			this.replica.entriesPersisted(index, term, monotonic());
		}
	}

	void compact() {
		if (this.appliedIndex == 0) {
			return;
		}
		this.disk.sync();
		byte[] key = ByteBuffer.allocate(Long.BYTES).putLong(this.cluster.register(this.state.snapshot())).array();
		Snapshot snapshot = new Snapshot(this.appliedIndex, this.appliedTerm,
				this.replica.membershipAt(this.appliedIndex), key);
		this.disk.compact(snapshot);
		this.replica.snapshotPersisted(snapshot);
	}

	@Override
	public void persist(HardState hardState) {
		this.disk.persist(hardState);
		this.votePending = hardState.votedFor().isPresent();
	}

	@Override
	public void append(List<LogEntry> entries) {
		this.disk.append(entries);
	}

	@Override
	public void install(Snapshot snapshot) {
		this.cluster.countFault("installed snapshot");
		this.disk.install(snapshot);
		restore(snapshot);
		serveReads();
	}

	@Override
	public void send(Member to, ReplicaMessage message) {
		this.outbox.add(() -> this.cluster.send(this.vm, to.id(), message));
	}

	@Override
	public void apply(LogEntry entry) {
		this.cluster.history.applied(this, entry);
		this.appliedIndex = entry.index();
		this.appliedTerm = entry.term();
		if (entry.kind() == LogEntry.Kind.COMMAND) {
			long number = ByteBuffer.wrap(entry.payload()).getLong();
			Command command = this.cluster.command(number);
			CommandResult result = this.state.apply(entry.index(), command);
			this.cluster.history.result(entry.index(), command, result, this.state);
			Optional.ofNullable(this.proposals.remove(number)).ifPresent((done) -> done.accept(result));
		}
		else if (entry.kind() == LogEntry.Kind.NOOP && entry.term() == this.leaderTerm) {
			this.proposalClock = Optional.of(new ProposalClock(this.state, wallMillis(), monotonic()));
		}
		serveReads();
	}

	@Override
	public void readReady(long readId, long index) {
		this.readsByIndex.computeIfAbsent(index, (key) -> new ArrayList<>()).add(this.reads.remove(readId));
		serveReads();
	}

	@Override
	public void operationFailed(long number) {
		this.proposals.remove(number);
		this.reads.remove(number);
	}

	@Override
	public void statusChanged(ReplicaStatus status) {
		if (status.role() == ReplicaStatus.Role.LEADER) {
			this.leaderTerm = status.term();
			this.cluster.history.elected(this, status.term());
		}
		else {
			this.manager.leadershipLost();
			this.proposalClock = Optional.empty();
		}
	}

	private long rate() {
		return 1_000 + (this.vm.hashCode() % 3) - 1;
	}

	boolean canPropose() {
		return this.proposalClock.isPresent() && this.replica.isLeader();
	}

	private void restore(Snapshot snapshot) {
		this.state = ControlState
			.restore((ControlStateSnapshot) this.cluster.registered(ByteBuffer.wrap(snapshot.state()).getLong()));
		this.appliedIndex = snapshot.index();
		this.appliedTerm = snapshot.term();
	}

	private void serveReads() {
		Map<Long, List<Runnable>> due = this.readsByIndex.headMap(this.appliedIndex, true);
		due.values().forEach((served) -> served.forEach(Runnable::run));
		due.clear();
	}

}
