package org.acaciacourse.core.model;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * A customer with its API keys and limits. The limits apply to the whole system; each
 * entry VM enforces its share of them.
 * <p>
 * Immutable and thread safe.
 *
 * @param name the unique name
 * @param keyDigests the SHA-256 digest of each API key, in lower-case hexadecimal digits
 * @param classes the names of the request classes that it may use, the default first
 * @param maxInFlight the maximum number of its requests that are queued or running
 * @param requestsPerSecond the maximum sustained rate of its requests
 * @param weight its relative share among the customers of a class
 */
public record Customer(String name, Set<String> keyDigests, List<String> classes, int maxInFlight,
		double requestsPerSecond, int weight) {

	public Customer {
		Objects.requireNonNull(name, "name");
		keyDigests = Set.copyOf(keyDigests);
		classes = List.copyOf(classes);
		if (maxInFlight < 1 || weight < 1 || !(requestsPerSecond > 0)) {
			throw new IllegalArgumentException(
					"maxInFlight, requestsPerSecond and weight must be positive, customer " + name);
		}
	}

}
