package org.acaciacourse.core.route;

import java.util.Objects;
import java.util.Optional;

/**
 * An endpoint as listed by the platform. Addresses are reused, so a request names the
 * instance that it is meant for.
 * <p>
 * Immutable and thread safe.
 *
 * @param instance the unique ID of the endpoint, different after each start
 * @param pool the name of its pool
 * @param address the IP address and port
 * @param dataCentre the data centre that it runs in
 * @param slots the number of requests that it serves concurrently
 * @param leaving whether it is being removed and accepts no new requests
 * @param version the version of its software, if the platform states one; endpoints of
 * several versions may serve in one pool
 */
public record FleetEndpoint(String instance, String pool, String address, String dataCentre, int slots, boolean leaving,
		Optional<String> version) {

	public FleetEndpoint {
		Objects.requireNonNull(instance, "instance");
		Objects.requireNonNull(pool, "pool");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(dataCentre, "dataCentre");
		Objects.requireNonNull(version, "version");
		if (slots < 1) {
			throw new IllegalArgumentException("an endpoint needs at least one slot");
		}
	}

	/**
	 * Create an endpoint whose version is not known.
	 * @param instance the unique ID of the endpoint
	 * @param pool the name of its pool
	 * @param address the IP address and port
	 * @param dataCentre the data centre that it runs in
	 * @param slots the number of requests that it serves concurrently
	 * @param leaving whether it accepts no new requests
	 */
	public FleetEndpoint(String instance, String pool, String address, String dataCentre, int slots, boolean leaving) {
		this(instance, pool, address, dataCentre, slots, leaving, Optional.empty());
	}

	/**
	 * Return the same endpoint as one that accepts no new requests.
	 * @return the endpoint
	 */
	public FleetEndpoint asLeaving() {
		return new FleetEndpoint(this.instance, this.pool, this.address, this.dataCentre, this.slots, true,
				this.version);
	}

}
