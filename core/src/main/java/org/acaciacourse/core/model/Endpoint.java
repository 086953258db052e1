package org.acaciacourse.core.model;

import java.net.URI;
import java.util.Objects;

/**
 * One endpoint as the manifest declares it.
 * <p>
 * Immutable and thread safe.
 *
 * @param name the unique name
 * @param set the name of its endpoint set
 * @param address the base address, an IP number and a port
 * @param dataCentre the data centre it stands in
 * @param slots how many requests it runs at the same time
 * @param drained whether the manifest marks it as leaving
 */
public record Endpoint(String name, String set, URI address, String dataCentre, int slots, boolean drained) {

	public Endpoint {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(set, "set");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(dataCentre, "dataCentre");
		if (slots < 1) {
			throw new IllegalArgumentException("slots must be at least 1");
		}
	}

}
