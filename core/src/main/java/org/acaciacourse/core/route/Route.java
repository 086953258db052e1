package org.acaciacourse.core.route;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * A route: which requests it takes and how they are served.
 * <p>
 * Immutable and thread safe. The weights add up to more than 0.
 *
 * @param name the name
 * @param host the host that it belongs to, in lower case
 * @param pathPrefix the prefix of the paths it takes, begins and ends with a slash
 * @param kind what a repeat does
 * @param resumable whether a broken stream can go on at another endpoint
 * @param timeout the longest time that a caller is kept waiting for the end of its answer
 * @param target the time to the first event, or to the whole answer, that is aimed for
 * @param eventGap the longest pause between events that is aimed for, zero for none
 * @param priority the rank of its requests, 0 is the highest
 * @param shares the pools that serve it
 * @param maxAttempts how many endpoints a request may be sent to
 * @param anonymous whether it is served without a customer's key
 * @param affinity whether requests that share a prompt prefix belong on one endpoint
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
			throw new IllegalArgumentException("a route needs a pool with a weight");
		}
		if (timeout.isZero() || timeout.isNegative()) {
			throw new IllegalArgumentException("a route needs a timeout");
		}
	}

	/**
	 * Return whether its requests may run again although they may have run before.
	 * @return whether a repeat is harmless
	 */
	public boolean isIdempotent() {
		return this.kind.isIdempotent(this.resumable);
	}

	/**
	 * Choose the pool of a request by its weight.
	 * @param hash a hash that is spread evenly over the requests
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
		throw new IllegalStateException("the point lies below the total");
	}

}
