package org.acaciacourse.core.route;

import java.util.Objects;

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
 */
public record Pool(String name, int maxConnections, long engineTokens) {

	public Pool {
		Objects.requireNonNull(name, "name");
		if (maxConnections < 1) {
			throw new IllegalArgumentException("maxConnections must be at least 1");
		}
	}

	/**
	 * Return whether its endpoints are inference engines.
	 * @return whether they have a KV cache
	 */
	public boolean isEngine() {
		return this.engineTokens > 0;
	}

}
