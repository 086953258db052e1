package org.acaciacourse.core.consensus;

import java.util.Objects;
import java.util.Optional;

/**
 * What a replica must not forget: it is durable before any message that depends on it is
 * sent.
 * <p>
 * Immutable and thread safe.
 *
 * @param term the latest term seen
 * @param votedFor who got this replica's vote in that term
 */
public record HardState(long term, Optional<ReplicaId> votedFor) {

	public HardState {
		Objects.requireNonNull(votedFor, "votedFor");
	}

}
