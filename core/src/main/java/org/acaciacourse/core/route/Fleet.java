package org.acaciacourse.core.route;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;

import net.openhft.hashing.LongHashFunction;

/**
 * All endpoints that the platform lists. The revision is a hash of the content, so VMs
 * that read the same list arrive at the same revision without coordination.
 * <p>
 * Immutable and thread safe.
 *
 * @param revision the hash of the endpoints, 0 only for {@link #NONE}
 * @param endpoints the endpoints, sorted by instance
 */
public record Fleet(long revision, List<FleetEndpoint> endpoints) {

	/** The fleet before the first list has been read. */
	public static final Fleet NONE = new Fleet(0, List.of());

	public Fleet {
		endpoints = List.copyOf(endpoints);
	}

	/**
	 * Create a fleet from its endpoints.
	 * @param endpoints the endpoints, in any order
	 * @return the fleet
	 */
	public static Fleet of(List<FleetEndpoint> endpoints) {
		List<FleetEndpoint> sorted = endpoints.stream().sorted(Comparator.comparing(FleetEndpoint::instance)).toList();
		// The hash covers the string form, which includes the type and component names of
		// FleetEndpoint: renaming those changes the revision.
		long hash = LongHashFunction.xx3().hashBytes(sorted.toString().getBytes(StandardCharsets.UTF_8));
		return new Fleet((hash != 0) ? hash : 1, sorted);
	}

}
