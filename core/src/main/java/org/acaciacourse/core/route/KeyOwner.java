package org.acaciacourse.core.route;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * A customer as seen by routing: the keys that its requests carry and their priority.
 * <p>
 * Immutable and thread safe. The string form omits the keys, which are secret.
 *
 * @param customer the name of the customer
 * @param keys its keys
 * @param priority the priority of its requests, which takes precedence over their
 * route's; empty if the route's applies
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
