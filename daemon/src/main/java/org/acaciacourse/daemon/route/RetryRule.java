package org.acaciacourse.daemon.route;

import java.time.Duration;

/**
 * The retry budget that all entry VMs share, for each pool.
 * <p>
 * Immutable and thread safe.
 *
 * @param window the length of any span that is counted
 * @param ratio retries for each request in the window
 * @param minimum retries that are permitted whatever the requests are
 */
public record RetryRule(Duration window, double ratio, double minimum) {

	public RetryRule {
		if (window.isZero() || window.isNegative() || ratio < 0 || minimum < 0) {
			throw new IllegalArgumentException("a retry budget has a window and is not negative");
		}
	}

}
