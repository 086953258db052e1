package org.acaciacourse.core.model;

import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * A complete, validated manifest. Invariant: all names that it refers to exist.
 * <p>
 * Immutable and thread safe.
 *
 * @param number the number, which increases with each manifest
 * @param digest the SHA-256 of the canonical document, in hexadecimal digits
 * @param policySelection the selection of the active policy
 * @param policies the policies by name
 * @param classes the request classes by name
 * @param endpointSets the endpoint sets by name
 * @param endpoints the endpoints by name
 * @param customers the customers by name
 * @param services the plain services by name
 * @param drainedVms the names of the system's own VMs that are marked as drained
 */
public record Manifest(long number, String digest, PolicySelection policySelection, Map<String, Policy> policies,
		Map<String, RequestClass> classes, Map<String, EndpointSet> endpointSets, Map<String, Endpoint> endpoints,
		Map<String, Customer> customers, Map<String, Service> services, Set<String> drainedVms) {

	public Manifest {
		Objects.requireNonNull(digest, "digest");
		policies = Map.copyOf(policies);
		classes = Map.copyOf(classes);
		endpointSets = Map.copyOf(endpointSets);
		endpoints = Map.copyOf(endpoints);
		customers = Map.copyOf(customers);
		services = Map.copyOf(services);
		drainedVms = Set.copyOf(drainedVms);
	}

}
