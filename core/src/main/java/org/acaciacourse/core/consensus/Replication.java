package org.acaciacourse.core.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.acaciacourse.core.consensus.ReplicaMessage.AppendReply;
import org.acaciacourse.core.consensus.ReplicaMessage.AppendRequest;
import org.acaciacourse.core.consensus.ReplicaMessage.SnapshotRequest;

/**
 * The leader's side of log replication in one term: which messages to send to each
 * follower, which entries are committed, and whether a quorum is still in contact.
 * Invariant: an entry counts for a replica, including the leader itself, only once it is
 * durable there.
 * <p>
 * Not thread safe: belongs to one {@link Replica}.
 */
final class Replication {

	private final ReplicaId self;

	private final long term;

	private final InMemoryLog log;

	private final ReplicaTiming timing;

	private final ReplicaActions actions;

	private final Map<ReplicaId, Progress> followers = new TreeMap<>();

	private long round;

	private long nextHeartbeat;

	Replication(ReplicaId self, long term, InMemoryLog log, ReplicaTiming timing, ReplicaActions actions, long now) {
		this.self = self;
		this.term = term;
		this.log = log;
		this.timing = timing;
		this.actions = actions;
		this.nextHeartbeat = now;
		updateFollowers(now);
	}

	/**
	 * Add and remove followers according to the current membership.
	 * @param now the time
	 */
	void updateFollowers(long now) {
		Membership membership = this.log.membership();
		this.followers.keySet().removeIf((id) -> membership.member(id).isEmpty());
		membership.members()
			.stream()
			.map(Member::id)
			.filter((id) -> !id.equals(this.self))
			.forEach((id) -> this.followers.computeIfAbsent(id, (key) -> new Progress(this.log.lastIndex() + 1, now)));
	}

	/**
	 * Send entries to all followers, as far as the limit of bytes in flight permits.
	 * @param commitIndex the commit index
	 * @param now the time
	 */
	void sendEntries(long commitIndex, long now) {
		this.followers.forEach((id, progress) -> sendEntries(id, progress, commitIndex, now));
	}

	/**
	 * Send new entries to followers that have nothing in flight. The other followers get
	 * them with the next reply or tick, many in one message, so that a burst of proposals
	 * does not become as many messages.
	 * @param commitIndex the commit index
	 * @param now the time
	 */
	void sendToIdleFollowers(long commitIndex, long now) {
		this.followers.forEach((id, progress) -> {
			if (progress.isIdle()) {
				sendEntries(id, progress, commitIndex, now);
			}
		});
	}

	/**
	 * Start a new round and send a heartbeat to every other member.
	 * @param commitIndex the commit index
	 * @param now the time
	 * @return the round
	 */
	long sendHeartbeats(long commitIndex, long now) {
		this.round++;
		this.nextHeartbeat = now + this.timing.heartbeatNanos();
		this.followers.forEach((id, progress) -> sendHeartbeats(id, progress, commitIndex));
		return this.round;
	}

	void tick(long commitIndex, long now) {
		this.followers.values()
			.forEach((progress) -> progress.checkTimeout(this.timing.electionTimeoutNanos() / 2, now));
		if (now >= this.nextHeartbeat) {
			sendHeartbeats(commitIndex, now);
		}
		sendEntries(commitIndex, now);
	}

	/**
	 * Process a reply of this term.
	 * @param reply the reply
	 * @param now the time
	 */
	void receive(AppendReply reply, long now) {
		Progress progress = this.followers.get(reply.from());
		if (progress == null) {
			return;
		}
		progress.recordContact(reply.round(), now);
		if (reply.success()) {
			progress.matched(Math.min(reply.matchIndex(), this.log.lastIndex()));
		}
		else {
			progress.rejected(reply.matchIndex());
		}
	}

	/**
	 * Compute the highest index up to which a quorum of the voters has made the log
	 * durable.
	 * @return that index
	 */
	long quorumIndex() {
		return this.log.membership().reachedByQuorum(this::durableIndex);
	}

	/**
	 * Return the latest heartbeat round that a quorum has confirmed.
	 * @return the round
	 */
	long confirmedRound() {
		return this.log.membership().reachedByQuorum(this::acknowledgedRound);
	}

	/**
	 * Return whether a quorum has replied within an election timeout. A partitioned
	 * leader must step down, because clients would wait for it while another leader is
	 * elected.
	 * @param now the time
	 * @return whether it has
	 */
	boolean hasQuorumContact(long now) {
		Set<ReplicaId> active = new HashSet<>(Set.of(this.self));
		this.followers.keySet().stream().filter((id) -> isInContact(id, now)).forEach(active::add);
		return this.log.membership().isQuorum(active);
	}

	/**
	 * Choose the target of a leadership transfer.
	 * @param now the time
	 * @return the most up-to-date voter that is in contact
	 */
	Optional<ReplicaId> transferTarget(long now) {
		Set<ReplicaId> voters = this.log.membership().voters();
		return this.followers.entrySet()
			.stream()
			.filter((entry) -> voters.contains(entry.getKey()))
			.filter((entry) -> isInContact(entry.getKey(), now))
			.max((a, b) -> Long.compare(a.getValue().matchIndex(), b.getValue().matchIndex()))
			.map(Map.Entry::getKey);
	}

	boolean isInContact(ReplicaId id, long now) {
		Progress progress = this.followers.get(id);
		return progress != null && now - progress.lastContact() < this.timing.electionTimeoutNanos();
	}

	long matchIndex(ReplicaId id) {
		Progress progress = this.followers.get(id);
		return (progress != null) ? progress.matchIndex() : 0;
	}

	private long durableIndex(ReplicaId id) {
		return (id.equals(this.self)) ? this.log.durableIndex() : matchIndex(id);
	}

	private long acknowledgedRound(ReplicaId id) {
		if (id.equals(this.self)) {
			return this.round;
		}
		Progress progress = this.followers.get(id);
		return (progress != null) ? progress.acknowledgedRound() : 0;
	}

	private void sendEntries(ReplicaId id, Progress progress, long commitIndex, long now) {
		while (progress.nextIndex() <= this.log.lastIndex()
				&& progress.canSendEntries(this.timing.maxInFlightBytes())) {
			if (progress.nextIndex() <= this.log.snapshotIndex()) {
				sendSnapshot(id, progress, now);
				return;
			}
			List<LogEntry> entries = this.log.slice(progress.nextIndex(), this.timing.maxBatchBytes());
			sendAppend(id, progress.nextIndex() - 1, entries, commitIndex);
			long bytes = entries.stream().mapToLong((entry) -> entry.payload().length).sum();
			progress.sentEntries(entries.get(entries.size() - 1).index(), bytes, now);
		}
	}

	private void sendSnapshot(ReplicaId id, Progress progress, long now) {
		Snapshot snapshot = this.log.snapshot().orElseThrow();
		this.actions.send(member(id), new SnapshotRequest(this.self, this.term, snapshot, this.round));
		progress.sentSnapshot(snapshot.index(), now);
	}

	private void sendHeartbeats(ReplicaId id, Progress progress, long commitIndex) {
		// While probing, a heartbeat checks whether the logs match. Later it refers to an
		// index where they are known to match, so that it is not rejected because of a
		// message that is still in flight. Index 0, before the first entry, matches in
		// every log.
		long previousIndex = (progress.mode() == Progress.Mode.PROBE) ? progress.nextIndex() - 1
				: progress.matchIndex();
		sendAppend(id, (previousIndex >= this.log.snapshotIndex()) ? previousIndex : 0, List.of(), commitIndex);
	}

	private void sendAppend(ReplicaId id, long previousIndex, List<LogEntry> entries, long commitIndex) {
		long previousTerm = (previousIndex == 0) ? 0 : this.log.term(previousIndex);
		this.actions.send(member(id),
				new AppendRequest(this.self, this.term, previousIndex, previousTerm, entries, commitIndex, this.round));
	}

	private Member member(ReplicaId id) {
		return this.log.membership().member(id).orElseThrow();
	}

}
