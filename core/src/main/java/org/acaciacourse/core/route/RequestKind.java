package org.acaciacourse.core.route;

import java.util.Arrays;
import java.util.Optional;

/**
 * What a repeat of a request does, as its route declares it.
 * <p>
 * Immutable and thread safe.
 */
public enum RequestKind {

	/** May run any number of times. */
	SAFE("safe"),

	/** Runs at most once for each request that a caller sends. */
	UNSAFE("unsafe"),

	/**
	 * Answered by a stream of events; runs at most once unless its route can resume it.
	 */
	STREAM("stream");

	private final String label;

	RequestKind(String label) {
		this.label = label;
	}

	/**
	 * Find a kind by its word in a manifest.
	 * @param label the word
	 * @return the kind, if there is one
	 */
	public static Optional<RequestKind> ofLabel(String label) {
		return Arrays.stream(values()).filter((kind) -> kind.label.equals(label)).findFirst();
	}

	/**
	 * Return the word used in manifests and metrics.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Return whether a request may run again although it may have run before.
	 * @param resumable whether its route resumes broken streams
	 * @return whether a repeat is harmless
	 */
	public boolean isIdempotent(boolean resumable) {
		return this == SAFE || (this == STREAM && resumable);
	}

}
