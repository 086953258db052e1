package org.acaciacourse.core.route;

import java.util.Objects;

/**
 * An endpoint as the platform lists it. Its address may have belonged to another one
 * before, so that a request names the instance it is for.
 * <p>
 * Immutable and thread safe.
 *
 * @param instance the unique id of this start of the endpoint
 * @param pool the name of its pool
 * @param address IP number and port
 * @param dataCentre where it stands
 * @param slots how many requests it serves at a time
 * @param leaving whether it takes no new request
 */
public record FleetEndpoint(String instance, String pool, String address, String dataCentre, int slots,
		boolean leaving) {

	public FleetEndpoint {
		Objects.requireNonNull(instance, "instance");
		Objects.requireNonNull(pool, "pool");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(dataCentre, "dataCentre");
		if (slots < 1) {
			throw new IllegalArgumentException("an endpoint has a slot at least");
		}
	}

}
