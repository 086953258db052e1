package org.acaciacourse.core.order;

import java.util.Objects;

/**
 * An order to an engine. Each is idempotent: an engine that gets it twice ends in the
 * same state.
 * <p>
 * Immutable and thread safe.
 *
 * @param endpoint the name of the endpoint
 * @param fencingNumber the number of the writer's lease
 * @param kind what is ordered
 * @param subject the model or role
 */
public record EngineOrder(String endpoint, long fencingNumber, Kind kind, String subject) {

	public EngineOrder {
		Objects.requireNonNull(endpoint, "endpoint");
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(subject, "subject");
	}

	/**
	 * Kinds of order.
	 */
	public enum Kind {

		/** Load a model from the weight store. */
		LOAD("load"),

		/** Free the memory of a model. */
		UNLOAD("unload"),

		/** Take a role; with the present one it only carries the fencing number. */
		ROLE("role");

		private final String label;

		Kind(String label) {
			this.label = label;
		}

		/**
		 * Return the word used on the wire.
		 * @return the label
		 */
		public String label() {
			return this.label;
		}

	}

}
