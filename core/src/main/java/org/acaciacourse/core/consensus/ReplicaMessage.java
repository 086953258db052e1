package org.acaciacourse.core.consensus;

import java.util.List;

/**
 * The messages between replicas. Each may be lost, delayed, duplicated or reordered.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface ReplicaMessage {

	/**
	 * Return the sender.
	 * @return the identifier of the sender
	 */
	ReplicaId from();

	/**
	 * Return the sender's term, or for a pre-vote the term of the election that it would
	 * start.
	 * @return the term
	 */
	long term();

	/**
	 * A request for a vote.
	 *
	 * @param from the candidate
	 * @param term the candidate's term, for a pre-vote the term of the election that it
	 * would start
	 * @param lastIndex the index of the candidate's last log entry
	 * @param lastTerm the term of the candidate's last log entry
	 * @param preVote whether this is a pre-vote, which only asks whether the candidate
	 * would win an election
	 * @param leadershipTransfer whether the leader asked the candidate to start the
	 * election, which overrides the check for a live leader
	 */
	record VoteRequest(ReplicaId from, long term, long lastIndex, long lastTerm, boolean preVote,
			boolean leadershipTransfer) implements ReplicaMessage {
	}

	/**
	 * A reply to a vote request.
	 *
	 * @param from the voter
	 * @param term the voter's term, for a granted pre-vote the term of the request
	 * @param preVote whether it replies to a pre-vote
	 * @param granted whether the vote is granted
	 */
	record VoteReply(ReplicaId from, long term, boolean preVote, boolean granted) implements ReplicaMessage {
	}

	/**
	 * A request to append entries, or a heartbeat if it has no entries.
	 *
	 * @param from the leader
	 * @param term its term
	 * @param previousIndex the index of the entry before the first one
	 * @param previousTerm the term of that entry
	 * @param entries the entries
	 * @param commitIndex the leader's commit index
	 * @param round the heartbeat round, which the reply repeats to confirm leadership for
	 * linearizable reads
	 */
	record AppendRequest(ReplicaId from, long term, long previousIndex, long previousTerm, List<LogEntry> entries,
			long commitIndex, long round) implements ReplicaMessage {

		public AppendRequest {
			entries = List.copyOf(entries);
		}

	}

	/**
	 * A reply to an append or snapshot request.
	 *
	 * @param from the follower
	 * @param term its term
	 * @param success whether the entry before the first one matched
	 * @param matchIndex the index of the last entry known to match and to be durable, on
	 * failure a hint at the last index that may match
	 * @param round the round of the request
	 */
	record AppendReply(ReplicaId from, long term, boolean success, long matchIndex,
			long round) implements ReplicaMessage {
	}

	/**
	 * A snapshot for a follower that lacks entries which the leader no longer has.
	 *
	 * @param from the leader
	 * @param term its term
	 * @param snapshot the snapshot
	 * @param round the heartbeat round
	 */
	record SnapshotRequest(ReplicaId from, long term, Snapshot snapshot, long round) implements ReplicaMessage {
	}

	/**
	 * A request from the leader that an up-to-date follower start an election at once.
	 *
	 * @param from the leader
	 * @param term its term
	 */
	record TimeoutNow(ReplicaId from, long term) implements ReplicaMessage {
	}

}
