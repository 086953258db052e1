package org.acaciacourse.core.model;

import java.net.URI;
import java.util.Objects;

/**
 * An endpoint as declared in the manifest.
 * <p>
 * Immutable and thread safe.
 *
 * @param name the unique name
 * @param endpointSet the name of its endpoint set
 * @param address the base address, an IP address and a port
 * @param dataCentre the data centre that it is located in
 * @param slots how many requests it runs concurrently
 * @param drained whether the manifest marks it as drained
 */
public record Endpoint(String name, String endpointSet, URI address, String dataCentre, int slots, boolean drained) {

	public Endpoint {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(endpointSet, "set");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(dataCentre, "dataCentre");
		if (slots < 1) {
			throw new IllegalArgumentException("slots must be at least 1, got " + slots);
		}
	}

}
