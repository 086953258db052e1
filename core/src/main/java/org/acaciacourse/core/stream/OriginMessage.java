package org.acaciacourse.core.stream;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A message between entry VMs about the origins of streams.
 * <p>
 * Immutable and thread safe.
 *
 * @param kind what the message is for
 * @param streams the streams that it is about
 */
public record OriginMessage(Kind kind, List<Stream> streams) {

	public OriginMessage {
		Objects.requireNonNull(kind, "kind");
		streams = List.copyOf(streams);
	}

	/** What a message is for. */
	public enum Kind {

		/** The receiver is to keep the origins. */
		TELL,

		/** The receiver is asked for the origins. */
		ASK,

		/** The receiver has asked; streams that are not known have no origin. */
		ANSWER

	}

	/**
	 * A stream.
	 *
	 * @param key its name
	 * @param origin where it began, if the sender knows
	 */
	public record Stream(StreamKey key, Optional<StreamOrigin> origin) {

		public Stream {
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(origin, "origin");
		}

	}

}
