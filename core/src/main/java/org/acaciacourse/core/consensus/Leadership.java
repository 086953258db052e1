package org.acaciacourse.core.consensus;

import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

import org.acaciacourse.core.consensus.ReplicaMessage.AppendReply;
import org.acaciacourse.core.consensus.ReplicaMessage.TimeoutNow;

/**
 * The state of a replica while it leads in one term: replication, pending proposals and
 * reads, and a leadership transfer. Invariants: entries of earlier terms are committed
 * only together with one of this term (Ongaro and Ousterhout, 2014, section 5.4.2); at
 * most one membership change is uncommitted, and none is proposed before an entry of this
 * term is committed, so that any two quorums in use overlap.
 * <p>
 * Not thread safe: belongs to one {@link Replica}.
 */
final class Leadership {

	static final int MAX_PROPOSALS = 10_000;

	private final ReplicaId self;

	private final long term;

	private final InMemoryLog log;

	private final ReplicaTiming timing;

	private final ReplicaActions actions;

	private final Replication replication;

	private final PendingReads reads = new PendingReads();

	private final NavigableMap<Long, Long> proposals = new TreeMap<>();

	private final long noopIndex;

	private long commitIndex;

	private Optional<ReplicaId> transferTarget = Optional.empty();

	private long transferDeadline;

	private boolean timeoutNowSent;

	Leadership(ReplicaId self, long term, InMemoryLog log, ReplicaTiming timing, ReplicaActions actions,
			long commitIndex, long now) {
		this.self = self;
		this.term = term;
		this.log = log;
		this.timing = timing;
		this.actions = actions;
		this.commitIndex = commitIndex;
		this.replication = new Replication(self, term, log, timing, actions, now);
		this.noopIndex = append(LogEntry.Kind.NOOP, new byte[0]);
		this.replication.tick(commitIndex, now);
	}

	long propose(long proposalId, byte[] command, long now) {
		if (this.transferTarget.isPresent() || this.proposals.size() >= MAX_PROPOSALS) {
			return -1;
		}
		long index = append(LogEntry.Kind.COMMAND, command);
		this.proposals.put(index, proposalId);
		this.replication.sendToIdleFollowers(this.commitIndex, now);
		return index;
	}

	long changeMembership(long proposalId, Membership next, long now) {
		boolean changeAllowed = this.commitIndex >= this.noopIndex && this.log.membershipIndex() <= this.commitIndex;
		if (!changeAllowed || this.transferTarget.isPresent() || !this.log.membership().isSingleMemberChange(next)) {
			return -1;
		}
		long index = append(LogEntry.Kind.MEMBERSHIP, MembershipCodec.encode(next));
		this.proposals.put(index, proposalId);
		this.replication.updateFollowers(now);
		this.replication.sendEntries(this.commitIndex, now);
		return index;
	}

	void read(long readId, long now) {
		if (!this.reads.offer(readId)) {
			this.actions.operationFailed(readId);
			return;
		}
		serveReads(now);
	}

	void receive(AppendReply reply, long now) {
		this.replication.receive(reply, now);
	}

	/**
	 * Compute the commit index after a reply or a sync.
	 * @return the highest index that can be committed
	 */
	long committableIndex() {
		long index = this.replication.quorumIndex();
		return (index > this.commitIndex && this.log.term(index) == this.term) ? index : this.commitIndex;
	}

	void committed(long index) {
		this.commitIndex = index;
		this.proposals.headMap(index, true).clear();
	}

	/**
	 * Serve pending reads and send entries, after the commit index has been updated.
	 * @param now the time
	 */
	void sendPending(long now) {
		serveReads(now);
		this.replication.sendEntries(this.commitIndex, now);
		this.transferTarget.ifPresent(this::sendTimeoutNowIfCaughtUp);
	}

	void tick(long now) {
		if (this.transferTarget.isPresent() && now >= this.transferDeadline) {
			// The transfer timed out. This leader accepts proposals again, as otherwise
			// there would be no active leader.
			this.transferTarget = Optional.empty();
		}
		this.replication.tick(this.commitIndex, now);
	}

	boolean hasQuorumContact(long now) {
		return this.replication.hasQuorumContact(now);
	}

	void transfer(long now) {
		this.transferTarget = this.replication.transferTarget(now);
		this.transferDeadline = now + this.timing.electionTimeoutNanos();
		this.timeoutNowSent = false;
		this.transferTarget.ifPresent(this::sendTimeoutNowIfCaughtUp);
	}

	/**
	 * Return whether this leader's removal from the voters is committed, so that it must
	 * step down.
	 * @return whether it is
	 */
	boolean isRemoved() {
		boolean voter = this.log.membership().isVoter(this.self);
		return !voter && this.log.membershipIndex() <= this.commitIndex;
	}

	/**
	 * Send the last commit index to the other members and ask the most up-to-date voter
	 * to start an election at once.
	 * @param now the time
	 */
	void transferAfterRemoval(long now) {
		this.replication.sendHeartbeats(this.commitIndex, now);
		this.replication.transferTarget(now).ifPresent(this::sendTimeoutNow);
	}

	void end() {
		this.reads.failAll(this.actions);
		this.proposals.values().forEach(this.actions::operationFailed);
		this.proposals.clear();
	}

	long matchIndex(ReplicaId id) {
		return (id.equals(this.self)) ? this.log.durableIndex() : this.replication.matchIndex(id);
	}

	boolean isInContact(ReplicaId id, long now) {
		return id.equals(this.self) || this.replication.isInContact(id, now);
	}

	private long append(LogEntry.Kind kind, byte[] payload) {
		LogEntry entry = new LogEntry(this.log.lastIndex() + 1, this.term, kind, payload);
		this.log.append(List.of(entry));
		this.actions.append(List.of(entry));
		return entry.index();
	}

	private void serveReads(long now) {
		this.reads.confirmed(this.replication.confirmedRound(), this.actions);
		// Until an entry of this term is committed, the commit index may be lower than
		// what an earlier leader has acknowledged.
		if (this.commitIndex >= this.noopIndex && this.reads.needsRound()) {
			this.reads.startRound(this.replication.sendHeartbeats(this.commitIndex, now), this.commitIndex);
			this.reads.confirmed(this.replication.confirmedRound(), this.actions);
		}
	}

	private void sendTimeoutNowIfCaughtUp(ReplicaId id) {
		if (!this.timeoutNowSent && this.replication.matchIndex(id) == this.log.lastIndex()) {
			this.timeoutNowSent = true;
			sendTimeoutNow(id);
		}
	}

	private void sendTimeoutNow(ReplicaId id) {
		this.log.membership()
			.member(id)
			.ifPresent((member) -> this.actions.send(member, new TimeoutNow(this.self, this.term)));
	}

}
