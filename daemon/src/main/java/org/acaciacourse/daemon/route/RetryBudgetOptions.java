package org.acaciacourse.daemon.route;

import java.time.Duration;

/**
 * The retry budget of each pool, which all entry VMs share.
 * <p>
 * Immutable and thread safe.
 *
 * @param window the length of the time window over which retries are counted
 * @param ratio retries permitted for each request in the window
 * @param minimum retries permitted in the window whatever the number of requests
 */
public record RetryBudgetOptions(Duration window, double ratio, double minimum) {

	public RetryBudgetOptions {
		if (window.isZero() || window.isNegative() || ratio < 0 || minimum < 0) {
			throw new IllegalArgumentException("invalid retry budget: window " + window + " must be positive, ratio "
					+ ratio + " and minimum " + minimum + " must not be negative");
		}
	}

}
