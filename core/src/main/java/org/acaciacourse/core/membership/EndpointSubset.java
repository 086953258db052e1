package org.acaciacourse.core.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import net.openhft.hashing.LongHashFunction;

/**
 * Chooses the endpoints that an entry VM works with, so that its connections, probes and
 * learnt state stay bounded however many endpoints there are.
 * <p>
 * Rendezvous hashing (Thaler and Ravishankar, 1998) from the side of the endpoint: each
 * endpoint belongs to the {@code sharers} entry VMs with the highest hash of the pair.
 * Choosing from the side of the entry VM would leave some endpoints to nobody; this way
 * each has exactly its number of entry VMs. A VM that goes away moves only the endpoints
 * that it shared, and VMs agree without a message, as far as their lists of VMs agree.
 * <p>
 * Thread safe: it has no state.
 */
public final class EndpointSubset {

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private EndpointSubset() {
	}

	/**
	 * Choose the endpoints of an entry VM.
	 * @param self the name of the VM
	 * @param entries the names of the live entry VMs; {@code self} counts whether it is
	 * among them or not
	 * @param endpoints the names of the endpoints
	 * @param entriesPerEndpoint how many entry VMs each endpoint belongs to
	 * @return the names of this VM's endpoints; all of them while there are no more than
	 * {@code sharers} entry VMs
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
