package org.acaciacourse.core.consensus;

import java.util.Objects;

/**
 * An entry of the replicated log. The entry owns the payload, and nobody modifies it.
 * <p>
 * Immutable and thread safe as long as nobody modifies the payload.
 *
 * @param index its position in the log, from 1
 * @param term the term of the leader that created it
 * @param kind what the payload contains
 * @param payload the encoded command or membership, empty for {@link Kind#NOOP}
 */
public record LogEntry(long index, long term, Kind kind, byte[] payload) {

	public LogEntry {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(payload, "payload");
	}

	/**
	 * The kind of an entry.
	 */
	public enum Kind {

		/**
		 * An empty entry, which a new leader appends to commit the entries of earlier
		 * terms.
		 */
		NOOP,

		/** A command for the state machine. */
		COMMAND,

		/** A membership, which takes effect as soon as it is in the log. */
		MEMBERSHIP

	}

}
