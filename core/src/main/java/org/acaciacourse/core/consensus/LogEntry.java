package org.acaciacourse.core.consensus;

import java.util.Objects;

/**
 * An entry of the replicated log. The payload belongs to the entry and is not changed by
 * anyone.
 * <p>
 * Immutable and thread safe as long as nobody writes to the payload.
 *
 * @param index its place, from 1
 * @param term the term of the leader that made it
 * @param kind what the payload holds
 * @param payload the encoded command or membership, empty for {@link Kind#NOOP}
 */
public record LogEntry(long index, long term, Kind kind, byte[] payload) {

	public LogEntry {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(payload, "payload");
	}

	/**
	 * What an entry holds.
	 */
	public enum Kind {

		/** Nothing; commits the entries of earlier terms. */
		NOOP,

		/** A command of the state machine. */
		COMMAND,

		/** A membership, in force as soon as it is in the log. */
		MEMBERSHIP

	}

}
