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

}
