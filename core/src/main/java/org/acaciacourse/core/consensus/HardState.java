package org.acaciacourse.core.consensus;

import java.util.Objects;
import java.util.Optional;

/**
 * The persistent state of a replica besides its log. It is made durable before any
 * message that depends on it is sent.
 * <p>
 * Immutable and thread safe.
 *
 * @param term the latest term that the replica has seen
 * @param votedFor the candidate that received this replica's vote in that term
 */
public record HardState(long term, Optional<ReplicaId> votedFor) {

	public HardState {
		Objects.requireNonNull(votedFor, "votedFor");
	}

}
