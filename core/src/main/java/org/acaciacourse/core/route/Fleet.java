package org.acaciacourse.core.route;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;

import net.openhft.hashing.LongHashFunction;

/**
 * All endpoints that the platform lists. The revision is a hash of the content: VMs that
 * read the same list agree on it without a word between them.
 * <p>
 * Immutable and thread safe.
 *
 * @param revision the hash of the endpoints, 0 only for no fleet at all
 * @param endpoints the endpoints by instance
 */
public record Fleet(long revision, List<FleetEndpoint> endpoints) {

	/** What holds before the first list was read. */
	public static final Fleet NONE = new Fleet(0, List.of());

	public Fleet {
		endpoints = List.copyOf(endpoints);
	}

	/**
	 * Make a fleet.
	 * @param endpoints the endpoints, in any order
	 * @return the fleet
	 */
	public static Fleet of(List<FleetEndpoint> endpoints) {
		List<FleetEndpoint> sorted = endpoints.stream().sorted(Comparator.comparing(FleetEndpoint::instance)).toList();
		long hash = LongHashFunction.xx3().hashBytes(sorted.toString().getBytes(StandardCharsets.UTF_8));
		return new Fleet((hash != 0) ? hash : 1, sorted);
	}

}
