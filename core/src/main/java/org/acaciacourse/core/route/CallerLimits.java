package org.acaciacourse.core.route;

import java.time.Duration;

/**
 * Bounds on what callers send and how long they take.
 * <p>
 * Immutable and thread safe.
 *
 * @param maxHeaderBytes the largest header section in bytes
 * @param maxBodyBytes the largest body in bytes
 * @param headerTimeout the time in which a header section has to be received
 * @param idleTimeout after which an idle connection is closed
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

	/** What holds until a manifest tells: the bounds of the product's own callers. */
	public static final CallerLimits DEFAULT = new CallerLimits(32 * 1024, 8 * 1024 * 1024, Duration.ofSeconds(20),
			Duration.ofSeconds(90));

	public CallerLimits {
		if (maxHeaderBytes < 1 || maxBodyBytes < 1) {
			throw new IllegalArgumentException("limits must be positive");
		}
	}

}
