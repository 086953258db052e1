package org.acaciacourse.core.route;

import java.util.Objects;

/**
 * A pool of endpoints that serve the same requests.
 * <p>
 * Immutable and thread safe.
 *
 * @param name the name
 * @param maxConnections how many connections one of its endpoints takes from all callers
 * together
 * @param engineTokens the tokens that an endpoint's memory holds, 0 for a plain service
 */
public record Pool(String name, int maxConnections, long engineTokens) {

	public Pool {
		Objects.requireNonNull(name, "name");
		if (maxConnections < 1) {
			throw new IllegalArgumentException("a pool takes a connection at least");
		}
	}

	/**
	 * Return whether its endpoints are model engines.
	 * @return whether they have a memory for tokens
	 */
	public boolean isEngine() {
		return this.engineTokens > 0;
	}

}
