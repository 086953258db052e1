package org.acaciacourse.core.speed;

/**
 * What endpoints spend time on that shows their speed. Each kind has its own unit of
 * work, so that only times of the same kind are compared.
 * <p>
 * Immutable and thread safe.
 */
enum WorkKind {

	/** From the sending of a prompt to its first event, for each token waiting ahead. */
	PREFILL,

	/** Between two events of a stream, for each batch step of an idle engine. */
	EVENT_GAP,

	/** The duration of a plain answer, for each turn of its slot. */
	PLAIN_ANSWER

}
