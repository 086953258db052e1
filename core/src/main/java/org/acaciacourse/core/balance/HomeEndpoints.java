package org.acaciacourse.core.balance;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import net.openhft.hashing.LongHashFunction;

/**
 * The two endpoints that rendezvous hashing (Thaler and Ravishankar, 1998) ranks highest
 * for the shared parts of a prompt. They are the same at all entry VMs. A choice between
 * two keeps queues balanced under a skewed load (Mitzenmacher, The Power of Two Choices
 * in Randomized Load Balancing, 2001), and two homes bound the number of cached copies of
 * a part.
 * <p>
 * Immutable and thread safe.
 *
 * @param primary the endpoint that prefills the parts, none if the prompt shares none
 * @param secondary the endpoint that prefills them too if the primary is busy
 * @param cached whether the primary has the parts in its cache already
 */
record HomeEndpoints(Optional<EndpointLoad> primary, Optional<EndpointLoad> secondary, boolean cached) {

	static final HomeEndpoints NONE = new HomeEndpoints(Optional.empty(), Optional.empty(), false);

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	/**
	 * Find the home endpoints of a prompt.
	 * @param shape the prompt
	 * @param usable the endpoints that may get it
	 * @param eligible tells which of them may be a home
	 * @return the homes
	 */
	static HomeEndpoints of(PromptShape shape, List<EndpointLoad> usable, Predicate<EndpointLoad> eligible) {
		long key = shape.sharedId();
		EndpointLoad primary = null;
		EndpointLoad secondary = null;
		long highest = 0;
		long secondHighest = 0;
		for (EndpointLoad load : usable) {
			if (!eligible.test(load)) {
				continue;
			}
			long weight = HASH.hashLong(key ^ Long.rotateLeft(load.hash(), 32));
			if (primary == null || Long.compareUnsigned(weight, highest) > 0) {
				secondary = primary;
				secondHighest = highest;
				primary = load;
				highest = weight;
			}
			else if (secondary == null || Long.compareUnsigned(weight, secondHighest) > 0) {
				secondary = load;
				secondHighest = weight;
			}
		}
		boolean cached = primary != null && primary.prefixCache().cachedTokens(shape) == shape.sharedTokens();
		return new HomeEndpoints(Optional.ofNullable(primary), Optional.ofNullable(secondary), cached);
	}

	/**
	 * Return by how much the queue of the primary is longer.
	 * @return the difference in prompt tokens of an endpoint of the pool's median speed,
	 * 0 without a secondary
	 */
	double queueDifference() {
		return this.secondary.map((other) -> queue(this.primary.get()) - queue(other)).orElse(0.0);
	}

	private static double queue(EndpointLoad load) {
		return load.waitingWork() / load.speed().learned();
	}

	HomeEndpoints withoutSecondary() {
		return new HomeEndpoints(this.primary, Optional.empty(), this.cached);
	}

	boolean contains(EndpointLoad load) {
		return matches(this.primary, load) || matches(this.secondary, load);
	}

	private static boolean matches(Optional<EndpointLoad> home, EndpointLoad load) {
		return home.isPresent() && home.get() == load;
	}

	/**
	 * Return the role of an endpoint for the shared parts.
	 * @param load the endpoint
	 * @param cachesAll whether it has all of them in its cache
	 * @return the role; without homes all endpoints are primary
	 */
	HomeRole role(EndpointLoad load, boolean cachesAll) {
		if (cachesAll || this.primary.isEmpty() || matches(this.primary, load)) {
			return HomeRole.PRIMARY;
		}
		if (matches(this.secondary, load)) {
			return (this.cached) ? HomeRole.SECONDARY : HomeRole.PRIMARY;
		}
		return HomeRole.NONE;
	}

}
