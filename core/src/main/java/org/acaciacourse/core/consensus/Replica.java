package org.acaciacourse.core.consensus;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.acaciacourse.core.consensus.ReplicaMessage.AppendReply;
import org.acaciacourse.core.consensus.ReplicaMessage.AppendRequest;
import org.acaciacourse.core.consensus.ReplicaMessage.SnapshotRequest;
import org.acaciacourse.core.consensus.ReplicaMessage.TimeoutNow;
import org.acaciacourse.core.consensus.ReplicaMessage.VoteReply;
import org.acaciacourse.core.consensus.ReplicaMessage.VoteRequest;
import org.acaciacourse.core.consensus.ReplicaStatus.Role;

/**
 * A replica of the log that implements Raft (Ongaro and Ousterhout, "In Search of an
 * Understandable Consensus Algorithm", 2014) with pre-vote, check-quorum, leadership
 * transfer, learners and single-server membership changes (Ongaro, "Consensus: Bridging
 * Theory and Practice", 2014). Invariants: the term never decreases; a replica votes at
 * most once per term; it never truncates an entry that it knows to be committed; entries
 * are applied exactly once and in order.
 * <p>
 * A replica answers vote requests regardless of its own membership, and a candidate
 * counts only the voters in its own membership. A voter that has not learned of its
 * promotion yet must not block an election, and the vote of a non-voter is never counted.
 * A removed replica cannot disrupt the others: it starts an election only after a
 * pre-vote, which replicas in contact with a leader refuse. A replica that is not a voter
 * in its own membership never starts an election.
 * <p>
 * Not thread safe: one thread calls it.
 */
public final class Replica implements ReplicatedLog {

	private final ReplicaId self;

	private final String vm;

	private final ReplicaTiming timing;

	private final ReplicaActions actions;

	private final InMemoryLog log;

	private final Election election;

	private HardState hardState;

	private Role role = Role.FOLLOWER;

	private Optional<ReplicaId> leader = Optional.empty();

	private Optional<Leadership> leadership = Optional.empty();

	private long commitIndex;

	private ReplicaStatus lastReported;

	/**
	 * Create a replica.
	 * @param self its identifier
	 * @param vm the name of the VM it runs on
	 * @param recovered the content of its data folder
	 * @param timing the timeouts and size limits
	 * @param seed the seed of its randomized election timeouts
	 * @param actions carries out the actions that it requests
	 * @param now the time
	 */
	public Replica(ReplicaId self, String vm, RecoveredLog recovered, ReplicaTiming timing, long seed,
			ReplicaActions actions, long now) {
		this.self = Objects.requireNonNull(self, "self");
		this.vm = Objects.requireNonNull(vm, "vm");
		this.timing = timing;
		this.actions = actions;
		this.log = new InMemoryLog(recovered);
		this.hardState = recovered.hardState();
		this.commitIndex = this.log.snapshotIndex();
		this.election = new Election(timing.electionTimeoutNanos(), seed, voterRank(), now);
		this.lastReported = status();
	}

	@Override
	public void receive(ReplicaMessage message, long now) {
		if (message instanceof VoteRequest request) {
			receiveVoteRequest(request, now);
		}
		else {
			receiveInTerm(message, now);
		}
		reportStatusChange();
	}

	@Override
	public void tick(long now) {
		this.leadership.ifPresent((leading) -> tickLeader(leading, now));
		if (this.role != Role.LEADER && this.election.isTimerExpired(now)) {
			this.leader = Optional.empty();
			if (isVoter()) {
				startPreVote(now);
			}
		}
		reportStatusChange();
	}

	@Override
	public void entriesPersisted(long index, long term, long now) {
		this.log.markDurable(index, term);
		this.leadership.ifPresent((leading) -> advanceCommitIndex(leading, now));
		reportStatusChange();
	}

	@Override
	public long propose(long proposalId, byte[] command, long now) {
		return this.leadership.map((leading) -> leading.propose(proposalId, command, now)).orElse(-1L);
	}

	@Override
	public long changeMembership(long proposalId, Membership next, long now) {
		return this.leadership.map((leading) -> leading.changeMembership(proposalId, next, now)).orElse(-1L);
	}

	@Override
	public void read(long readId, long now) {
		this.leadership.ifPresentOrElse((leading) -> leading.read(readId, now),
				() -> this.actions.operationFailed(readId));
	}

	@Override
	public void transferLeadership(long now) {
		this.leadership.ifPresent((leading) -> leading.transfer(now));
	}

	@Override
	public void snapshotPersisted(Snapshot snapshot) {
		if (snapshot.index() > this.commitIndex) {
			throw new IllegalArgumentException(
					"snapshot at index " + snapshot.index() + " is beyond the commit index " + this.commitIndex);
		}
		this.log.compact(snapshot);
	}

	@Override
	public ReplicaStatus status() {
		Role reportedRole = (this.role == Role.FOLLOWER && !isVoter()) ? Role.LEARNER : this.role;
		return new ReplicaStatus(reportedRole, term(), this.leader.flatMap(membership()::member), this.commitIndex);
	}

	@Override
	public Membership membership() {
		return this.log.membership();
	}

	/**
	 * Return the membership as of a committed entry, to be stored in a snapshot at that
	 * entry.
	 * @param index the index of the entry, not before the latest snapshot
	 * @return the membership
	 */
	public Membership membershipAt(long index) {
		return this.log.membershipAt(index);
	}

	/**
	 * Return whether the current membership is committed, so that another change may be
	 * proposed.
	 * @return whether no change is in progress
	 */
	public boolean isMembershipCommitted() {
		return this.log.membershipIndex() <= this.commitIndex;
	}

	/**
	 * Return whether this replica should ask to join. Its local membership may be stale:
	 * a replica that is removed while it is partitioned does not receive the change, and
	 * the change that added a replica may be rolled back when the leader fails. The
	 * decision therefore depends on whether a leader replicates to it as a member. A
	 * voter waits for several election timeouts first. A request from a replica that is
	 * already a member is harmless.
	 * @param now the time
	 * @return whether no leader replicates to it as a member and, for a voter, the wait
	 * is over
	 */
	public boolean needsToJoin(long now) {
		boolean replicated = membership().member(this.self).isPresent() && this.leader.isPresent();
		return !replicated && (!isVoter() || this.election.isLeaderless(now));
	}

	/**
	 * Return whether a member has replied to this leader within an election timeout.
	 * @param id the member
	 * @param now the time
	 * @return whether it has; always true for the leader itself
	 */
	public boolean isInContact(ReplicaId id, long now) {
		return this.leadership.map((leading) -> leading.isInContact(id, now)).orElse(false);
	}

	/**
	 * Return the voters that granted this replica's current vote or pre-vote request.
	 * @return their identifiers, including its own, or empty if this replica is neither a
	 * candidate nor a pre-candidate
	 */
	public Optional<Set<ReplicaId>> grantingVoters() {
		boolean candidate = this.role == Role.PRE_CANDIDATE || this.role == Role.CANDIDATE;
		return candidate ? Optional.of(this.election.grantingVoters()) : Optional.empty();
	}

	@Override
	public long matchIndex(ReplicaId id) {
		return this.leadership.map((leading) -> leading.matchIndex(id)).orElse(0L);
	}

	@Override
	public String toString() {
		return "replica " + this.self.value() + " on " + this.vm + " " + status();
	}

	private void receiveInTerm(ReplicaMessage message, long now) {
		boolean grantedPreVote = message instanceof VoteReply reply && reply.preVote() && reply.granted();
		if (message.term() > term() && !grantedPreVote) {
			becomeFollower(message.term(), Optional.empty(), now);
		}
		if (message instanceof AppendRequest request) {
			receiveAppend(request, now);
		}
		else if (message instanceof SnapshotRequest request) {
			receiveSnapshot(request, now);
		}
		else if (message instanceof VoteReply reply) {
			receiveVoteReply(reply, now);
		}
		else if (message instanceof AppendReply reply && reply.term() == term()) {
			this.leadership.ifPresent((leading) -> {
				leading.receive(reply, now);
				advanceCommitIndex(leading, now);
			});
		}
		else if (message instanceof TimeoutNow request && request.term() == term() && isVoter()
				&& this.role != Role.LEADER) {
			startElection(true, now);
		}
	}

	private void receiveVoteRequest(VoteRequest request, long now) {
		boolean hasLeader = this.role == Role.LEADER || this.election.hasRecentLeaderContact(now);
		boolean refused = hasLeader && !request.leadershipTransfer();
		if (request.preVote()) {
			boolean granted = !refused && request.term() > term() && isUpToDate(request);
			long term = (granted) ? request.term() : term();
			send(request.from(), new VoteReply(this.self, term, true, granted));
			return;
		}
		if (refused && request.term() > term()) {
			return;
		}
		if (request.term() > term()) {
			becomeFollower(request.term(), Optional.empty(), now);
		}
		boolean canVote = this.hardState.votedFor().map(request.from()::equals).orElse(true);
		boolean granted = request.term() == term() && canVote && isUpToDate(request);
		if (granted && this.hardState.votedFor().isEmpty()) {
			persist(new HardState(term(), Optional.of(request.from())));
			this.election.restartTimer(now);
		}
		send(request.from(), new VoteReply(this.self, term(), false, granted));
	}

	private boolean isUpToDate(VoteRequest request) {
		if (request.lastTerm() != this.log.lastTerm()) {
			return request.lastTerm() > this.log.lastTerm();
		}
		return request.lastIndex() >= this.log.lastIndex();
	}

	private void receiveVoteReply(VoteReply reply, long now) {
		Role expectedRole = (reply.preVote()) ? Role.PRE_CANDIDATE : Role.CANDIDATE;
		long requestedTerm = (reply.preVote()) ? term() + 1 : term();
		if (!reply.granted() || this.role != expectedRole || reply.term() != requestedTerm) {
			return;
		}
		this.election.recordVote(reply.from());
		continueElection(now);
	}

	private void receiveAppend(AppendRequest request, long now) {
		if (request.term() < term()) {
			send(request.from(), new AppendReply(this.self, term(), false, 0, request.round()));
			return;
		}
		followLeader(request.from(), now);
		long snapshotIndex = this.log.snapshotIndex();
		long last = request.previousIndex() + request.entries().size();
		if (request.previousIndex() >= snapshotIndex
				&& this.log.term(request.previousIndex()) != request.previousTerm()) {
			long hint = this.log.lastPossibleMatch(request.previousIndex(), this.commitIndex);
			send(request.from(), new AppendReply(this.self, term(), false, hint, request.round()));
			return;
		}
		// The entries covered by the snapshot are committed, so they match every leader's
		// log.
		List<LogEntry> entries = request.entries().stream().filter((entry) -> entry.index() > snapshotIndex).toList();
		long matchIndex = Math.max(snapshotIndex, last);
		appendMissing(entries);
		send(request.from(), new AppendReply(this.self, term(), true, matchIndex, request.round()));
		commit(Math.min(request.commitIndex(), matchIndex));
	}

	private void appendMissing(List<LogEntry> entries) {
		for (int i = 0; i < entries.size(); i++) {
			LogEntry entry = entries.get(i);
			if (this.log.term(entry.index()) == entry.term()) {
				continue;
			}
			if (entry.index() <= this.commitIndex) {
				throw new IllegalStateException("append request conflicts with committed entry " + entry.index());
			}
			if (entry.index() <= this.log.lastIndex()) {
				this.log.truncateFrom(entry.index());
			}
			List<LogEntry> missing = entries.subList(i, entries.size());
			this.log.append(missing);
			this.actions.append(List.copyOf(missing));
			return;
		}
	}

	private void receiveSnapshot(SnapshotRequest request, long now) {
		if (request.term() < term()) {
			send(request.from(), new AppendReply(this.self, term(), false, 0, request.round()));
			return;
		}
		followLeader(request.from(), now);
		Snapshot snapshot = request.snapshot();
		// Entries after the snapshot may have been acknowledged and count towards a
		// quorum. A delayed snapshot must not discard them, or a committed entry could be
		// lost.
		boolean alreadyInLog = snapshot.index() <= this.commitIndex
				|| this.log.term(snapshot.index()) == snapshot.term();
		if (!alreadyInLog) {
			this.log.install(snapshot);
			this.actions.install(snapshot);
			this.commitIndex = snapshot.index();
		}
		send(request.from(), new AppendReply(this.self, term(), true, snapshot.index(), request.round()));
		commit(snapshot.index());
	}

	private void followLeader(ReplicaId from, long now) {
		if (this.role == Role.LEADER) {
			throw new IllegalStateException("two leaders in term " + term());
		}
		becomeFollower(term(), Optional.of(from), now);
		this.election.recordLeaderContact(now);
	}

	private void startPreVote(long now) {
		this.role = Role.PRE_CANDIDATE;
		this.election.start(this.self, now);
		requestVotes(true, false);
		continueElection(now);
	}

	private void startElection(boolean leadershipTransfer, long now) {
		this.role = Role.CANDIDATE;
		this.leader = Optional.empty();
		persist(new HardState(term() + 1, Optional.of(this.self)));
		this.election.start(this.self, now);
		requestVotes(false, leadershipTransfer);
		continueElection(now);
	}

	private void requestVotes(boolean preVote, boolean leadershipTransfer) {
		long requestedTerm = (preVote) ? term() + 1 : term();
		VoteRequest request = new VoteRequest(this.self, requestedTerm, this.log.lastIndex(), this.log.lastTerm(),
				preVote, leadershipTransfer);
		membership().members()
			.stream()
			.filter((member) -> member.voter() && !member.id().equals(this.self))
			.forEach((member) -> this.actions.send(member, request));
	}

	private void continueElection(long now) {
		if (!this.election.isWon(membership())) {
			return;
		}
		if (this.role == Role.PRE_CANDIDATE) {
			startElection(false, now);
		}
		else if (this.role == Role.CANDIDATE) {
			this.role = Role.LEADER;
			this.leader = Optional.of(this.self);
			this.leadership = Optional
				.of(new Leadership(this.self, term(), this.log, this.timing, this.actions, this.commitIndex, now));
		}
	}

	private void tickLeader(Leadership leading, long now) {
		if (!leading.hasQuorumContact(now)) {
			becomeFollower(term(), Optional.empty(), now);
			return;
		}
		leading.tick(now);
	}

	private void advanceCommitIndex(Leadership leading, long now) {
		commit(leading.committableIndex());
		leading.sendPending(now);
		if (leading.isRemoved()) {
			leading.transferAfterRemoval(now);
			becomeFollower(term(), Optional.empty(), now);
		}
	}

	private void commit(long index) {
		while (this.commitIndex < index) {
			this.commitIndex++;
			this.actions.apply(this.log.get(this.commitIndex));
		}
		this.leadership.ifPresent((leading) -> leading.committed(this.commitIndex));
	}

	private void becomeFollower(long term, Optional<ReplicaId> newLeader, long now) {
		if (term > term()) {
			persist(new HardState(term, Optional.empty()));
		}
		if (this.role != Role.FOLLOWER) {
			this.election.restartTimer(now);
		}
		this.leadership.ifPresent(Leadership::end);
		this.leadership = Optional.empty();
		this.role = Role.FOLLOWER;
		this.leader = newLeader;
	}

	private void persist(HardState next) {
		this.hardState = next;
		this.actions.persist(next);
	}

	private void send(ReplicaId to, ReplicaMessage message) {
		this.actions.send(membership().member(to).orElse(new Member(to, "", "", false)), message);
	}

	private void reportStatusChange() {
		ReplicaStatus status = status();
		boolean same = status.role() == this.lastReported.role() && status.term() == this.lastReported.term()
				&& status.leader().equals(this.lastReported.leader());
		this.lastReported = status;
		if (!same) {
			this.actions.statusChanged(status);
		}
	}

	// The number of voters with a lower identifier.
	private int voterRank() {
		return (int) membership().voters().stream().filter((id) -> id.compareTo(this.self) < 0).count();
	}

	private boolean isVoter() {
		return membership().isVoter(this.self);
	}

	private long term() {
		return this.hardState.term();
	}

}
