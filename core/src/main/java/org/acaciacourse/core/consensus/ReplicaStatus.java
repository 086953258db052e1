package org.acaciacourse.core.consensus;

import java.util.Objects;
import java.util.Optional;

/**
 * The state of a replica and what it knows of the leader.
 * <p>
 * Immutable and thread safe.
 *
 * @param role its role
 * @param term its term
 * @param leader the leader of the term, if known
 * @param commitIndex the index of the last entry known to be committed
 */
public record ReplicaStatus(Role role, long term, Optional<Member> leader, long commitIndex) {

	public ReplicaStatus {
		Objects.requireNonNull(role, "role");
		Objects.requireNonNull(leader, "leader");
	}

	/**
	 * The roles of a replica.
	 */
	public enum Role {

		/** Receives the log but does not count towards quorums. */
		LEARNER,

		/** Follows a leader, or waits for one to be elected. */
		FOLLOWER,

		/** Requests pre-votes, without incrementing the term. */
		PRE_CANDIDATE,

		/** Requests votes. */
		CANDIDATE,

		/** Appends entries, replicates them and commits them. */
		LEADER

	}

	// Written out because the generated methods of a record are linked on first use. That
	// takes tens of milliseconds, which clients would wait for after a start.
	@Override
	public boolean equals(Object other) {
		return this == other || (other instanceof ReplicaStatus that && this.role == that.role && this.term == that.term
				&& this.leader.equals(that.leader) && this.commitIndex == that.commitIndex);
	}

	@Override
	public int hashCode() {
		int hash = this.role.hashCode();
		hash = 31 * hash + Long.hashCode(this.term);
		hash = 31 * hash + this.leader.hashCode();
		hash = 31 * hash + Long.hashCode(this.commitIndex);
		return hash;
	}

}
