package org.acaciacourse.core.model;

import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * A group of endpoints that serve the same models or the same plain service.
 * <p>
 * Immutable and thread safe.
 *
 * @param name the unique name
 * @param kind whether the endpoints are model engines or plain services
 * @param models the models that each endpoint serves, empty for a plain service
 * @param resumable whether an interrupted stream can be resumed by its request id
 * @param deterministic whether a rerun yields the same tokens
 * @param checksFencing whether the endpoints refuse orders with an outdated fencing
 * number
 */
public record EndpointSet(String name, Kind kind, Set<String> models, boolean resumable, boolean deterministic,
		boolean checksFencing) {

	public EndpointSet {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(kind, "kind");
		models = Set.copyOf(models);
	}

	/**
	 * The kinds of endpoint.
	 */
	public enum Kind {

		/** A model engine that streams tokens. */
		MODEL("model"),

		/** A plain HTTP service. */
		SERVICE("service");

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
