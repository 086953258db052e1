package org.acaciacourse.core.route;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * An endpoint as listed by the platform. Addresses are reused, so a request names the
 * instance that it is meant for.
 * <p>
 * Immutable and thread safe.
 *
 * @param instance the unique ID of the endpoint
 * @param pool the name of its pool
 * @param address the IP address and port
 * @param dataCentre the data centre that it runs in
 * @param slots the number of requests that it serves concurrently
 * @param leaving whether it is being removed and accepts no new requests
 * @param version the version of its software, if the platform states one; endpoints of
 * several versions may serve in one pool
 * @param born when it started, in Unix milliseconds, if the platform states that
 */
public record FleetEndpoint(String instance, String pool, String address, String dataCentre, int slots, boolean leaving,
		Optional<String> version, OptionalLong born) {

	public FleetEndpoint {
		Objects.requireNonNull(instance, "instance");
		Objects.requireNonNull(pool, "pool");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(dataCentre, "dataCentre");
		Objects.requireNonNull(version, "version");
		Objects.requireNonNull(born, "born");
		if (slots < 1) {
			throw new IllegalArgumentException("an endpoint needs at least one slot");
		}
	}

	/**
	 * Create an endpoint whose start is not known.
	 * @param instance the unique ID of the endpoint
	 * @param pool the name of its pool
	 * @param address the IP address and port
	 * @param dataCentre the data centre that it runs in
	 * @param slots the number of requests that it serves concurrently
	 * @param leaving whether it accepts no new requests
	 * @param version the version of its software, if the platform states one
	 */
	public FleetEndpoint(String instance, String pool, String address, String dataCentre, int slots, boolean leaving,
			Optional<String> version) {
		this(instance, pool, address, dataCentre, slots, leaving, version, OptionalLong.empty());
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
				this.version, this.born);
	}

	FleetEndpoint bornAt(OptionalLong start) {
		return new FleetEndpoint(this.instance, this.pool, this.address, this.dataCentre, this.slots, this.leaving,
				this.version, start);
	}

	/**
	 * Return the run of the endpoint.
	 * @return the run, which differs after each start that the platform states
	 */
	public EndpointRun run() {
		return new EndpointRun(this.instance, this.born);
	}

}
