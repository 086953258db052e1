package org.acaciacourse.core.consensus;

import java.util.List;

/**
 * The messages between replicas. Each may be lost, delayed, repeated or overtaken.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface ReplicaMessage {

	/**
	 * Return the sender.
	 * @return the identity of the sender
	 */
	ReplicaId from();

	/**
	 * Return the sender's term; for a pre-vote the term it would take.
	 * @return the term
	 */
	long term();

	/**
	 * A request for a vote.
	 *
	 * @param from the candidate
	 * @param term the term, for a pre-vote the one it would take
	 * @param lastIndex the index of its last entry
	 * @param lastTerm the term of its last entry
	 * @param preVote whether it only asks whether it would be elected
	 * @param leadershipTransfer whether the leader asked it to stand, which overrides the
	 * check for a live leader
	 */
	record VoteRequest(ReplicaId from, long term, long lastIndex, long lastTerm, boolean preVote,
			boolean leadershipTransfer) implements ReplicaMessage {
	}

	/**
	 * An answer to a request for a vote.
	 *
	 * @param from the voter
	 * @param term the voter's term, for a granted pre-vote the term that was asked for
	 * @param preVote whether it answers a pre-vote
	 * @param granted whether the vote is given
	 */
	record VoteReply(ReplicaId from, long term, boolean preVote, boolean granted) implements ReplicaMessage {
	}

	/**
	 * Entries from the leader; without entries a heartbeat.
	 *
	 * @param from the leader
	 * @param term its term
	 * @param previousIndex the index before the first entry
	 * @param previousTerm the term of the entry there
	 * @param entries the entries
	 * @param commitIndex the leader's commit index
	 * @param round the heartbeat round, which a reply repeats: confirms leadership for
	 * reads
	 */
	record AppendRequest(ReplicaId from, long term, long previousIndex, long previousTerm, List<LogEntry> entries,
			long commitIndex, long round) implements ReplicaMessage {

		public AppendRequest {
			entries = List.copyOf(entries);
		}

	}

	/**
	 * An answer to entries.
	 *
	 * @param from the follower
	 * @param term its term
	 * @param success whether the entry before the first one matched
	 * @param matchIndex the last entry known to match and to be durable, on failure a
	 * hint where the logs may still match
	 * @param round the round of the request
	 */
	record AppendReply(ReplicaId from, long term, boolean success, long matchIndex,
			long round) implements ReplicaMessage {
	}

	/**
	 * A snapshot for a follower that is behind the leader's log.
	 *
	 * @param from the leader
	 * @param term its term
	 * @param snapshot the snapshot
	 * @param round the heartbeat round
	 */
	record SnapshotRequest(ReplicaId from, long term, Snapshot snapshot, long round) implements ReplicaMessage {
	}

	/**
	 * The leader asks a follower that has caught up to stand for election at once.
	 *
	 * @param from the leader
	 * @param term its term
	 */
	record TimeoutNow(ReplicaId from, long term) implements ReplicaMessage {
	}

}
