package org.acaciacourse.core.consensus;

import java.util.Objects;

/**
 * The state of the state machine after an entry, which replaces the log up to that entry.
 * <p>
 * Immutable and thread safe as long as nobody modifies the state.
 *
 * @param index the index of the last entry that it covers
 * @param term the term of that entry
 * @param membership the membership after that entry
 * @param state the encoded state
 */
public record Snapshot(long index, long term, Membership membership, byte[] state) {

	public Snapshot {
		Objects.requireNonNull(membership, "membership");
		Objects.requireNonNull(state, "state");
	}

}
