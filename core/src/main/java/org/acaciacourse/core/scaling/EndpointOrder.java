package org.acaciacourse.core.scaling;

import java.util.Objects;

/**
 * An order for a number of endpoints. It states the whole number, not a difference, so
 * that it may be repeated.
 * <p>
 * Immutable and thread safe.
 *
 * @param subject what is ordered
 * @param count the number of endpoints
 */
public record EndpointOrder(Subject subject, int count) {

	public EndpointOrder {
		Objects.requireNonNull(subject, "subject");
	}

	/**
	 * What a number of endpoints is ordered of.
	 *
	 * @param pool the name of the pool
	 * @param dataCentre the data centre
	 * @param kind the kind of endpoint
	 */
	public record Subject(String pool, String dataCentre, EndpointKind kind) {

		public Subject {
			Objects.requireNonNull(pool, "pool");
			Objects.requireNonNull(dataCentre, "dataCentre");
			Objects.requireNonNull(kind, "kind");
		}

	}

}
