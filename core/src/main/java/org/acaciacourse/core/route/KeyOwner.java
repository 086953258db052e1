package org.acaciacourse.core.route;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * A customer as routes see it: the keys that its requests carry.
 * <p>
 * Immutable and thread safe. The keys are never printed.
 *
 * @param customer the name of the customer
 * @param keys its keys
 * @param priority the rank of its requests, which goes before their route's
 */
public record KeyOwner(String customer, List<String> keys, OptionalInt priority) {

	public KeyOwner {
		Objects.requireNonNull(customer, "customer");
		Objects.requireNonNull(priority, "priority");
		keys = List.copyOf(keys);
	}

	@Override
	public String toString() {
		return "KeyOwner[" + this.customer + ", " + this.keys.size() + " keys]";
	}

}
