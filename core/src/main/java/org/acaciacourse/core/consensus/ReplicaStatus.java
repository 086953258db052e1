package org.acaciacourse.core.consensus;

import java.util.Objects;
import java.util.Optional;

/**
 * What a replica knows of itself and the leader.
 * <p>
 * Immutable and thread safe.
 *
 * @param role its role
 * @param term its term
 * @param leader the leader of the term, if known
 * @param commitIndex the last entry known to be committed
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

		/** Receives the log but does not count for quorums. */
		LEARNER,

		/** Follows a leader, or waits for one. */
		FOLLOWER,

		/** Asks whether it would be elected, without a new term. */
		PRE_CANDIDATE,

		/** Asks for votes. */
		CANDIDATE,

		/** Appends and commits entries. */
		LEADER

	}

	// By hand, as the generated methods are put together at their first use: some tens of
	// milliseconds, which callers wait for after a start.
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
