package org.acaciacourse.core.route;

import java.util.Objects;
import java.util.Optional;

/**
 * A pool of endpoints that serve the same requests.
 * <p>
 * Immutable and thread safe.
 *
 * @param name the name
 * @param maxConnections the maximum number of connections that one of its endpoints
 * accepts in total
 * @param engineTokens the capacity of an engine's KV cache in tokens, 0 for a plain
 * service
 * @param scaling the bounds and prices of its endpoints, present if they can be ordered
 */
public record Pool(String name, int maxConnections, long engineTokens, Optional<PoolScaling> scaling) {

	public Pool {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(scaling, "scaling");
		if (maxConnections < 1) {
			throw new IllegalArgumentException("maxConnections must be at least 1");
		}
	}

	/**
	 * Create a pool whose endpoints are not ordered.
	 * @param name its name
	 * @param maxConnections the highest number of connections to an endpoint
	 * @param engineTokens the KV cache of an endpoint in tokens, 0 for a plain service
	 */
	public Pool(String name, int maxConnections, long engineTokens) {
		this(name, maxConnections, engineTokens, Optional.empty());
	}

	/**
	 * Return whether its endpoints are inference engines.
	 * @return whether they have a KV cache
	 */
	public boolean isEngine() {
		return this.engineTokens > 0;
	}

}
