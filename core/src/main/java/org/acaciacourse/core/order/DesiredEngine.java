package org.acaciacourse.core.order;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import org.acaciacourse.core.model.Endpoint;
import org.acaciacourse.core.model.EndpointSet;
import org.acaciacourse.core.model.Manifest;
import org.acaciacourse.core.model.RequestClass;
import org.acaciacourse.core.model.Tier;

/**
 * The desired state of one engine according to a manifest.
 * <p>
 * Immutable and thread safe.
 *
 * @param endpoint the name of the endpoint
 * @param models the models that it should have loaded
 * @param checksFencing whether it refuses orders with an outdated fencing number
 * @param tier the highest tier that it serves, which gives the priority of its model
 * loads
 */
public record DesiredEngine(String endpoint, Set<String> models, boolean checksFencing, Tier tier) {

	public DesiredEngine {
		models = Set.copyOf(models);
	}

	/**
	 * Return the desired state of all engines of a manifest. Drained endpoints are left
	 * out, so that they receive no orders.
	 * @param manifest the manifest
	 * @return the engines by endpoint name
	 */
	public static SortedMap<String, DesiredEngine> of(Manifest manifest) {
		SortedMap<String, DesiredEngine> engines = new TreeMap<>();
		for (Endpoint endpoint : manifest.endpoints().values()) {
			EndpointSet set = manifest.endpointSets().get(endpoint.endpointSet());
			if (set.kind() == EndpointSet.Kind.MODEL && !endpoint.drained()) {
				engines.put(endpoint.name(), new DesiredEngine(endpoint.name(), set.models(), set.checksFencing(),
						highestTier(manifest, set.name())));
			}
		}
		return engines;
	}

	private static Tier highestTier(Manifest manifest, String set) {
		Optional<Tier> highest = manifest.classes()
			.values()
			.stream()
			.filter((c) -> c.endpointSets().contains(set))
			.map(RequestClass::tier)
			.min(Comparator.naturalOrder());
		return highest.orElse(Tier.LOW);
	}

}
