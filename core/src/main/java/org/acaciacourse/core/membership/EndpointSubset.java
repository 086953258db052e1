package org.acaciacourse.core.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import net.openhft.hashing.LongHashFunction;

/**
 * Selects the subset of endpoints that an entry VM uses, so that its connections, probes
 * and learned state stay bounded however many endpoints there are.
 * <p>
 * Uses rendezvous hashing (Thaler and Ravishankar, 1998) per endpoint: each endpoint is
 * assigned to the {@code entriesPerEndpoint} entry VMs with the highest hash of the pair.
 * If each entry VM selected endpoints instead, some endpoints might be selected by none;
 * this way each endpoint has exactly the given number of entry VMs. When a VM is removed,
 * only the endpoints assigned to it are reassigned. VMs reach the same assignment without
 * communicating, as far as their lists of entry VMs are the same.
 * <p>
 * Thread safe: stateless.
 */
public final class EndpointSubset {

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private EndpointSubset() {
	}

	/**
	 * Select the endpoints of an entry VM.
	 * @param self the name of the entry VM
	 * @param entries the names of the live entry VMs; {@code self} is counted even if it
	 * is not among them
	 * @param endpoints the names of the endpoints
	 * @param entriesPerEndpoint how many entry VMs each endpoint is assigned to
	 * @return the names of the endpoints of this entry VM; all endpoints if there are no
	 * more than {@code entriesPerEndpoint} entry VMs
	 */
	public static Set<String> choose(String self, Collection<String> entries, Collection<String> endpoints,
			int entriesPerEndpoint) {
		List<String> others = entries.stream().filter((entry) -> !entry.equals(self)).distinct().toList();
		if (others.size() < entriesPerEndpoint) {
			return Set.copyOf(endpoints);
		}
		long[] otherHashes = others.stream().mapToLong(EndpointSubset::hash).toArray();
		long selfHash = hash(self);
		return endpoints.stream()
			.filter((endpoint) -> isAmongHighest(hash(endpoint), selfHash, otherHashes, entriesPerEndpoint))
			.collect(Collectors.toUnmodifiableSet());
	}

	private static boolean isAmongHighest(long endpointHash, long selfHash, long[] otherHashes,
			int entriesPerEndpoint) {
		long selfWeight = weight(selfHash, endpointHash);
		int higher = 0;
		for (long otherHash : otherHashes) {
			if (weight(otherHash, endpointHash) > selfWeight) {
				higher++;
				if (higher >= entriesPerEndpoint) {
					return false;
				}
			}
		}
		return true;
	}

	private static long weight(long entryHash, long endpointHash) {
		return HASH.hashLong(entryHash ^ Long.rotateLeft(endpointHash, 32));
	}

	private static long hash(String name) {
		return HASH.hashBytes(name.getBytes(StandardCharsets.UTF_8));
	}

}
