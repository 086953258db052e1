package org.acaciacourse.core.route;

import java.util.Objects;

/**
 * The share of a route's requests that is sent to a pool.
 * <p>
 * Immutable and thread safe.
 *
 * @param pool the name of the pool
 * @param weight its weight relative to the other shares of the route, 0 for no requests
 */
public record PoolShare(String pool, long weight) {

	public PoolShare {
		Objects.requireNonNull(pool, "pool");
		if (weight < 0) {
			throw new IllegalArgumentException("weight must not be negative");
		}
	}

}
