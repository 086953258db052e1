package org.acaciacourse.core.model;

import java.time.Duration;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

/**
 * The latency target of a request class, measured from the arrival of the request.
 * <p>
 * Immutable and thread safe.
 *
 * @param kind the latency that the target limits
 * @param limit the upper limit, positive
 */
public record LatencyTarget(Kind kind, Duration limit) {

	public LatencyTarget {
		Objects.requireNonNull(kind, "kind");
		if (limit.isNegative() || limit.isZero()) {
			throw new IllegalArgumentException("latency target must be positive, got " + limit);
		}
	}

	/**
	 * The latency that a target limits.
	 */
	public enum Kind {

		/** The time to the first token. */
		FIRST_TOKEN("first-token"),

		/** The time to the end of the response. */
		WHOLE_ANSWER("whole-answer");

		private final String label;

		Kind(String label) {
			this.label = label;
		}

		/**
		 * Find a kind by its label in a manifest.
		 * @param label the label
		 * @return the kind, if there is one
		 */
		public static Optional<Kind> ofLabel(String label) {
			return Arrays.stream(values()).filter((kind) -> kind.label.equals(label)).findFirst();
		}

		/**
		 * Return the label used in manifests.
		 * @return the label
		 */
		public String label() {
			return this.label;
		}

	}

}
