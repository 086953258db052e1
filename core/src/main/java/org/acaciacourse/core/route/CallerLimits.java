package org.acaciacourse.core.route;

import java.time.Duration;

/**
 * Limits on the size of requests and on the time that callers take to send them.
 * <p>
 * Immutable and thread safe.
 *
 * @param maxHeaderBytes the maximum size of a header section in bytes
 * @param maxBodyBytes the maximum size of a body in bytes
 * @param headerTimeout the time limit for receiving a header section
 * @param idleTimeout the time after which an idle connection is closed
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

	/**
	 * The limits until a manifest sets them: those that the product's own callers keep
	 * to.
	 */
	public static final CallerLimits DEFAULT = new CallerLimits(32 * 1024, 8 * 1024 * 1024, Duration.ofSeconds(20),
			Duration.ofSeconds(90));

	public CallerLimits {
		if (maxHeaderBytes < 1 || maxBodyBytes < 1) {
			throw new IllegalArgumentException("maxHeaderBytes and maxBodyBytes must be positive");
		}
	}

}
