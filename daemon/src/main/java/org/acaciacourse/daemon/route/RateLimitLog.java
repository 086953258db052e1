package org.acaciacourse.daemon.route;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.acaciacourse.core.balance.RateLimits;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * Logs which endpoints state a limit on their requests. Invariant: what was logged last
 * of an endpoint is what is known of it.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class RateLimitLog {

	/** By the ids of the endpoints. */
	private final Map<Integer, RateLimits.Status> logged = new HashMap<>();

	/**
	 * Log the limits that have begun, changed or ended.
	 * @param limits the limits by the ids of their endpoints
	 * @param instances the instances of the endpoints by their ids
	 */
	void update(Map<Integer, RateLimits.Status> limits, Map<Integer, String> instances) {
		Set<Integer> ended = new HashSet<>(this.logged.keySet());
		ended.removeAll(limits.keySet());
		ended.forEach((endpoint) -> {
			this.logged.remove(endpoint);
			DecisionLog.write(LogEvent.RATE_LIMIT, instanceOf(endpoint, instances), null, null, null);
		});
		limits.forEach((endpoint, limit) -> {
			RateLimits.Status before = this.logged.put(endpoint, limit);
			if (before == null || before.perSecond() != limit.perSecond() || before.share() != limit.share()) {
				DecisionLog.write(LogEvent.RATE_LIMIT, instanceOf(endpoint, instances), limit.perSecond(),
						Math.round(limit.share() * 100) / 100.0, limit.sent());
			}
		});
	}

	private static String instanceOf(int endpoint, Map<Integer, String> instances) {
		return instances.getOrDefault(endpoint, Integer.toHexString(endpoint));
	}

}
