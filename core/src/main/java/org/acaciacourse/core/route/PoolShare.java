package org.acaciacourse.core.route;

import java.util.Objects;

/**
 * The share of a route's requests that a pool gets.
 * <p>
 * Immutable and thread safe.
 *
 * @param pool the name of the pool
 * @param weight its weight among the shares of the route, 0 for none
 */
public record PoolShare(String pool, long weight) {

	public PoolShare {
		Objects.requireNonNull(pool, "pool");
		if (weight < 0) {
			throw new IllegalArgumentException("weight must not be negative");
		}
	}

}
