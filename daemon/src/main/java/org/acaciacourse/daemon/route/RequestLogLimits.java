package org.acaciacourse.daemon.route;

import org.acaciacourse.core.code.LogRateLimiter;

/**
 * Limits the rate of log lines that single requests write under overload.
 * <p>
 * Not thread safe: belongs to the event loop.
 *
 * @param late for late responses
 * @param admission for requests that admission refused or sent elsewhere
 */
record RequestLogLimits(LogRateLimiter late, LogRateLimiter admission) {

	/**
	 * Create limits.
	 * @param linesPerSecond the lines of each kind per second
	 * @param now the time in nanoseconds
	 * @return the limits
	 */
	static RequestLogLimits of(int linesPerSecond, long now) {
		return new RequestLogLimits(new LogRateLimiter(linesPerSecond, now), new LogRateLimiter(linesPerSecond, now));
	}

}
