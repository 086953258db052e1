package org.acaciacourse.core.route;

import java.util.Arrays;
import java.util.Optional;

/**
 * Whether the requests of a route may be repeated, as the manifest declares it.
 * <p>
 * Immutable and thread safe.
 */
public enum RequestKind {

	/** May be run any number of times. */
	SAFE("safe"),

	/** Must run at most once for each request that a caller sends. */
	UNSAFE("unsafe"),

	/**
	 * Answered with a stream of events; must run at most once unless the route is
	 * resumable.
	 */
	STREAM("stream");

	private final String label;

	RequestKind(String label) {
		this.label = label;
	}

	/**
	 * Find a kind by its label in a manifest.
	 * @param label the label
	 * @return the kind, if there is one
	 */
	public static Optional<RequestKind> ofLabel(String label) {
		return Arrays.stream(values()).filter((kind) -> kind.label.equals(label)).findFirst();
	}

	/**
	 * Return the label used in manifests and metrics.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Return whether a request may be run again when it may already have run.
	 * @param resumable whether its route resumes broken streams
	 * @return whether a repeat has no further effect
	 */
	public boolean isIdempotent(boolean resumable) {
		return this == SAFE || (this == STREAM && resumable);
	}

}
