package org.acaciacourse.core.order;

import java.util.Objects;

/**
 * An order to an engine. Orders are idempotent: receiving one twice leaves the engine in
 * the same state.
 * <p>
 * Immutable and thread safe.
 *
 * @param endpoint the name of the endpoint
 * @param fencingNumber the fencing number of the writer's lease
 * @param kind the kind of order
 * @param subject the name of the model or role
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

		/** Load the weights of a model from the weight store. */
		LOAD("load"),

		/** Unload a model and free its memory. */
		UNLOAD("unload"),

		/** Take a role. Ordering the current role only conveys the fencing number. */
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
