package org.acaciacourse.core.route;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * A route: the requests that it matches and how they are served.
 * <p>
 * Immutable and thread safe. Invariant: the weights of the shares add up to more than 0.
 *
 * @param name the name
 * @param host the host name that it matches, in lower case
 * @param pathPrefix the prefix of the paths that it matches, beginning and ending with a
 * slash
 * @param kind whether its requests may be repeated
 * @param resumable whether a broken stream can be resumed at another endpoint
 * @param timeout the longest time that a caller waits for the end of its response
 * @param target the target for the time to the first event, or to the complete response
 * @param eventGap the target for the longest pause between events, zero for none
 * @param priority the priority of its requests, 0 is the highest
 * @param shares the pools that serve it, with their weights
 * @param maxAttempts the maximum number of endpoints that a request is sent to
 * @param anonymous whether it is served without a customer's key
 * @param affinity whether requests that share a prompt prefix should go to the same
 * endpoint
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, boolean resumable, Duration timeout,
		Duration target, Duration eventGap, int priority, List<PoolShare> shares, int maxAttempts, boolean anonymous,
		boolean affinity) {

	public Route {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(pathPrefix, "pathPrefix");
		Objects.requireNonNull(kind, "kind");
		shares = List.copyOf(shares);
		if (shares.stream().mapToLong(PoolShare::weight).sum() <= 0) {
			throw new IllegalArgumentException("a route needs at least one pool with a positive weight");
		}
		if (timeout.isZero() || timeout.isNegative()) {
			throw new IllegalArgumentException("the timeout of a route must be positive");
		}
	}

	/**
	 * Return whether its requests may be run again when they may already have run.
	 * @return whether a repeat has no further effect
	 */
	public boolean isIdempotent() {
		return this.kind.isIdempotent(this.resumable);
	}

	/**
	 * Return the pools that serve the route.
	 * @return the names of those with a positive weight
	 */
	public List<String> pools() {
		return this.shares.stream().filter((share) -> share.weight() > 0).map(PoolShare::pool).distinct().toList();
	}

	/**
	 * Select the pool of a request according to the weights.
	 * @param hash a hash of the request, uniformly distributed
	 * @return the name of the pool
	 */
	public String pool(long hash) {
		long total = this.shares.stream().mapToLong(PoolShare::weight).sum();
		long point = Long.remainderUnsigned(hash, total);
		for (PoolShare share : this.shares) {
			point -= share.weight();
			if (point < 0) {
				return share.pool();
			}
		}
		throw new IllegalStateException("unreachable: the point is less than the sum of the weights");
	}

}
