package org.acaciacourse.core.model;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * A customer with its keys and limits. Limits hold for the whole system; each entry VM
 * enforces its part of them.
 * <p>
 * Immutable and thread safe.
 *
 * @param name the unique name
 * @param keyDigests SHA-256 of each key, in lower-case hexadecimal digits
 * @param classes the names of the classes it may use, the first is the default
 * @param maxInFlight how many of its requests may be queued or running
 * @param requestsPerSecond the sustained rate of its requests
 * @param weight its share among the customers of a class
 */
public record Customer(String name, Set<String> keyDigests, List<String> classes, int maxInFlight,
		double requestsPerSecond, int weight) {

	public Customer {
		Objects.requireNonNull(name, "name");
		keyDigests = Set.copyOf(keyDigests);
		classes = List.copyOf(classes);
		if (maxInFlight < 1 || weight < 1 || !(requestsPerSecond > 0)) {
			throw new IllegalArgumentException("limits must be positive");
		}
	}

}
