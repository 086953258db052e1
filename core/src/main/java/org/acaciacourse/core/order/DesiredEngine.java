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
 * What a manifest wants of one engine.
 * <p>
 * Immutable and thread safe.
 *
 * @param endpoint the name of the endpoint
 * @param models the models that it is to have loaded
 * @param checksFencing whether it refuses orders with an old number
 * @param tier the highest tier that it serves, which its loads are urgent by
 */
public record DesiredEngine(String endpoint, Set<String> models, boolean checksFencing, Tier tier) {

	public DesiredEngine {
		models = Set.copyOf(models);
	}

	/**
	 * Work out what a manifest wants. Endpoints that are leaving get no orders.
	 * @param manifest the manifest
	 * @return the engines by the name of the endpoint
	 */
	public static SortedMap<String, DesiredEngine> of(Manifest manifest) {
		SortedMap<String, DesiredEngine> engines = new TreeMap<>();
		for (Endpoint endpoint : manifest.endpoints().values()) {
			EndpointSet set = manifest.endpointSets().get(endpoint.set());
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
