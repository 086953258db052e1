package org.acaciacourse.daemon.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.consensus.HardState;
import org.acaciacourse.core.consensus.LogEntry;
import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.consensus.Membership;
import org.acaciacourse.core.consensus.MembershipManager;
import org.acaciacourse.core.consensus.RecoveredLog;
import org.acaciacourse.core.consensus.Replica;
import org.acaciacourse.core.consensus.ReplicaActions;
import org.acaciacourse.core.consensus.ReplicaMessage;
import org.acaciacourse.core.consensus.ReplicaStatus;
import org.acaciacourse.core.consensus.ReplicaTiming;
import org.acaciacourse.core.consensus.Snapshot;
import org.acaciacourse.core.state.Command;
import org.acaciacourse.core.state.CommandResult;
import org.acaciacourse.core.state.ControlState;
import org.acaciacourse.core.state.ProposalClock;
import org.acaciacourse.daemon.codec.CommandCodec;
import org.acaciacourse.daemon.codec.StateCodec;
import org.acaciacourse.daemon.store.RecoveredState;
import org.acaciacourse.daemon.store.ReplicaStore;
import org.acaciacourse.daemon.store.StoreException;

/**
 * Connects the replica, its store and the state machine. Events are handled in batches;
 * the writes of a batch are synced once, then its messages are sent (group commit, DeWitt
 * et al., "Implementation Techniques for Main Memory Database Systems", 1984), so that
 * the rate of commits is not limited by the rate of syncs.
 * <p>
 * Invariants: a message is sent only once all earlier writes are durable; each committed
 * entry is applied once, in order; each proposal and read completes once.
 * <p>
 * Not thread safe: only the replica's thread calls it.
 */
final class ReplicaDriver implements ReplicaActions {

	private static final long MEMBERSHIP_CHECK_NANOS = 100_000_000;

	private static final long SNAPSHOT_BYTES = 16 << 20;

	private final ReplicaStore store;

	private final Replica replica;

	private final MembershipManager manager = new MembershipManager();

	private final Outbox outbox;

	private final ReplicaViewMonitor views;

	private final ReplicaDecisionLog decisionLog;

	private final long snapshotEntries;

	private final Map<Long, Proposal> proposals = new HashMap<>();

	private final Map<Long, Long> proposedIndexes = new HashMap<>();

	private final Map<Long, CompletableFuture<Long>> reads = new HashMap<>();

	private ControlState state;

	private long nextId = 1;

	private long appliedIndex;

	private long appliedTerm;

	private long snapshotIndex;

	private long bytesSinceSnapshot;

	private Optional<LogEntry> lastAppended = Optional.empty();

	private long membershipCheckedAt;

	/** Present while this replica leads and has applied an entry of its term. */
	private Optional<ProposalClock> clock = Optional.empty();

	private long leadingTerm;

	ReplicaDriver(ReplicaStore store, String vm, ReplicaTiming timing, long snapshotEntries, Outbox outbox, long now) {
		RecoveredState recovered = store.recovered();
		this.store = store;
		this.outbox = outbox;
		this.snapshotEntries = snapshotEntries;
		this.state = new ControlState();
		recovered.snapshot().ifPresent(this::restore);
		RecoveredLog log = new RecoveredLog(recovered.hardState(), recovered.snapshot(), recovered.entries());
		this.replica = new Replica(store.identity(), vm, log, timing, store.identity().value(), this, now);
		store.releaseRecovered();
		this.membershipCheckedAt = now;
		this.decisionLog = new ReplicaDecisionLog(now);
		this.views = new ReplicaViewMonitor(currentView(now));
		this.decisionLog.writeChanges(this.views.latest());
	}

	ReplicaViewMonitor views() {
		return this.views;
	}

	/**
	 * Handle an event.
	 * @param event the event
	 * @param now the monotonic time in nanoseconds
	 */
	void handle(LoopEvent event, long now) {
		if (event instanceof LoopEvent.Received received) {
			this.replica.receive(received.message(), now);
		}
		else if (event instanceof LoopEvent.Propose propose) {
			propose(propose, now);
		}
		else if (event instanceof LoopEvent.Read read) {
			read(read.index(), now);
		}
		else if (event instanceof LoopEvent.Query<?> query) {
			query.run(this.state);
		}
		else if (event instanceof LoopEvent.Join join) {
			join(join);
		}
		else if (event instanceof LoopEvent.Transfer) {
			this.replica.transferLeadership(now);
		}
	}

	private void propose(LoopEvent.Propose event, long now) {
		if (!this.replica.isLeader() || this.clock.isEmpty()) {
			event.result().completeExceptionally(notLeader());
			return;
		}
		long proposedAt = this.clock.get().proposedAt(System.currentTimeMillis(), now);
		Command command = event.factory().create(this.state, proposedAt);
		long id = this.nextId++;
		long index = this.replica.propose(id, CommandCodec.encode(command), now);
		if (index < 0) {
			event.result().completeExceptionally(notLeader());
			return;
		}
		this.proposedIndexes.put(id, index);
		this.proposals.put(index, new Proposal(id, event.result()));
	}

	private void read(CompletableFuture<Long> index, long now) {
		if (!this.replica.isLeader()) {
			index.completeExceptionally(notLeader());
			return;
		}
		long id = this.nextId++;
		this.reads.put(id, index);
		this.replica.read(id, now);
	}

	private void join(LoopEvent.Join event) {
		if (!this.replica.isLeader()) {
			event.accepted().completeExceptionally(notLeader());
			return;
		}
		boolean listed = this.replica.membership().member(event.member().id()).isPresent();
		event.accepted().complete(listed || this.manager.addJoinRequest(event.member()));
	}

	private ControlException notLeader() {
		Optional<String> address = this.replica.status()
			.leader()
			.filter((leader) -> !leader.id().equals(this.store.identity()))
			.map(Member::address);
		return new ControlException(ResultCode.NO_QUORUM, address);
	}

	/**
	 * Run the replica's timers, sync the pending writes, then send the pending messages.
	 * @param now the monotonic time in nanoseconds
	 */
	void step(long now) {
		this.replica.tick(now);
		checkMembership(now);
		while (this.store.isDirty()) {
			Optional<LogEntry> last = this.lastAppended;
			this.lastAppended = Optional.empty();
			this.store.sync();
			last.ifPresent((entry) -> this.replica.entriesPersisted(entry.index(), entry.term(), now));
		}
		this.outbox.flush();
		if (isSnapshotDue()) {
			snapshot();
		}
		ReplicaView next = currentView(now);
		if (!next.equals(this.views.latest())) {
			this.decisionLog.writeChanges(next);
			this.views.publish(next);
		}
		this.replica.grantingVoters()
			.ifPresent((voters) -> this.decisionLog.writeOpenElection(voters, next.membership(), next.status().term(),
					now));
	}

	private void checkMembership(long now) {
		if (!this.replica.isLeader() || now - this.membershipCheckedAt < MEMBERSHIP_CHECK_NANOS) {
			return;
		}
		this.membershipCheckedAt = now;
		this.manager.observe(this.replica.membership(), (id) -> this.replica.isInContact(id, now), now);
		this.manager
			.nextMembership(this.replica.membership(), this.replica.isMembershipCommitted(),
					this.replica.status().commitIndex(), this.replica::matchIndex,
					(id) -> this.replica.isInContact(id, now))
			.ifPresent((next) -> changeMembership(next, now));
	}

	private void changeMembership(Membership next, long now) {
		Membership current = this.replica.membership();
		if (this.replica.changeMembership(this.nextId++, next, now) >= 0) {
			this.decisionLog.writeMembershipChange(current, next, this.manager, this.replica.status().term());
		}
	}

	private boolean isSnapshotDue() {
		long entries = this.appliedIndex - this.snapshotIndex;
		return entries >= this.snapshotEntries || (entries > 0 && this.bytesSinceSnapshot >= SNAPSHOT_BYTES);
	}

	private void snapshot() {
		Snapshot snapshot = new Snapshot(this.appliedIndex, this.appliedTerm,
				this.replica.membershipAt(this.appliedIndex), StateCodec.encode(this.state.snapshot()));
		this.store.save(snapshot);
		this.replica.snapshotPersisted(snapshot);
		this.snapshotIndex = this.appliedIndex;
		this.bytesSinceSnapshot = 0;
	}

	private ReplicaView currentView(long now) {
		return new ReplicaView(this.replica.status(), this.replica.membership(), this.appliedIndex,
				this.state.manifestNumber(), this.state.manifestDigest(), this.state.statistics().crashRevision(),
				this.replica.needsToJoin(now));
	}

	/**
	 * Fail all pending proposals and reads when the loop ends.
	 */
	void failPending() {
		ControlException unknown = new ControlException(ResultCode.OUTCOME_UNKNOWN, Optional.empty());
		this.proposals.values().forEach((proposal) -> proposal.result().completeExceptionally(unknown));
		this.reads.values().forEach((read) -> read.completeExceptionally(unknown));
		this.views.close();
	}

	@Override
	public void persist(HardState hardState) {
		this.store.put(hardState);
	}

	@Override
	public void append(List<LogEntry> entries) {
		this.store.put(entries);
		this.lastAppended = Optional.of(entries.get(entries.size() - 1));
	}

	@Override
	public void install(Snapshot snapshot) {
		this.store.install(snapshot);
		this.lastAppended = Optional.empty();
		restore(snapshot);
	}

	private void restore(Snapshot snapshot) {
		this.state = StateCodec.decode(snapshot.state())
			.map(ControlState::restore)
			.getOrElseThrow((ex) -> new StoreException(ResultCode.LOG_DAMAGED, "cannot decode the snapshot", ex));
		this.appliedIndex = snapshot.index();
		this.appliedTerm = snapshot.term();
		this.snapshotIndex = snapshot.index();
		this.bytesSinceSnapshot = 0;
	}

	@Override
	public void send(Member to, ReplicaMessage message) {
		this.outbox.add(to, message);
	}

	@Override
	public void apply(LogEntry entry) {
		this.appliedIndex = entry.index();
		this.appliedTerm = entry.term();
		this.bytesSinceSnapshot += entry.payload().length;
		if (entry.kind() == LogEntry.Kind.NOOP) {
			startClock(entry);
		}
		if (entry.kind() != LogEntry.Kind.COMMAND) {
			return;
		}
		Command command = CommandCodec.decode(entry.payload())
			.getOrElseThrow(
					(ex) -> new StoreException(ResultCode.LOG_DAMAGED, "cannot decode log entry " + entry.index(), ex));
		CommandResult result = this.state.apply(entry.index(), command);
		Proposal proposal = this.proposals.remove(entry.index());
		if (proposal != null) {
			this.proposedIndexes.remove(proposal.id());
			proposal.result().complete(result);
		}
	}

	private void startClock(LogEntry entry) {
		if (this.leadingTerm == entry.term()) {
			this.clock = Optional.of(new ProposalClock(this.state, System.currentTimeMillis(), System.nanoTime()));
		}
	}

	@Override
	public void readReady(long readId, long index) {
		CompletableFuture<Long> read = this.reads.remove(readId);
		if (read != null) {
			read.complete(index);
		}
	}

	@Override
	public void operationFailed(long id) {
		CompletableFuture<Long> read = this.reads.remove(id);
		if (read != null) {
			read.completeExceptionally(notLeader());
		}
		Long index = this.proposedIndexes.remove(id);
		if (index != null) {
			this.proposals.remove(index)
				.result()
				.completeExceptionally(new ControlException(ResultCode.OUTCOME_UNKNOWN, Optional.empty()));
		}
	}

	@Override
	public void statusChanged(ReplicaStatus status) {
		if (status.role() == ReplicaStatus.Role.LEADER) {
			this.leadingTerm = status.term();
		}
		else {
			this.clock = Optional.empty();
			this.manager.leadershipLost();
		}
	}

	/**
	 * Buffers messages until the preceding writes are durable.
	 */
	interface Outbox {

		/**
		 * Buffer a message.
		 * @param to the receiver
		 * @param message the message
		 */
		void add(Member to, ReplicaMessage message);

		/**
		 * Send all buffered messages.
		 */
		void flush();

	}

	/** A proposal whose entry is not yet applied. */
	private record Proposal(long id, CompletableFuture<CommandResult> result) {
	}

}
