package org.acaciacourse.core.balance;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * The limits on their requests that endpoints state in their responses. A limit is for
 * all entry VMs together, and applies until the endpoint responds without one.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class RateLimits {

	/** An endpoint that is not asked for so long may have no limit any longer. */
	static final long VALIDITY_NANOS = 20_000_000_000L;

	/**
	 * A response without a limit may have been sent before one with it, over another
	 * connection.
	 */
	private static final long REORDERING_NANOS = 200_000_000L;

	private final Map<Integer, Limit> limits = new HashMap<>();

	/**
	 * Record what an endpoint stated in a response, or that it stated nothing.
	 * @param endpoint the id of the endpoint
	 * @param perSecond the limit in requests per second, empty if there is none
	 * @param now when the response arrived
	 */
	public void record(int endpoint, OptionalDouble perSecond, long now) {
		Limit limit = this.limits.get(endpoint);
		if (limit == null && perSecond.isPresent()) {
			this.limits.put(endpoint, new Limit(perSecond.getAsDouble(), now));
		}
		else if (limit != null && perSecond.isPresent()) {
			limit.state(perSecond.getAsDouble(), now);
		}
		else if (limit != null && now - limit.statedAt > REORDERING_NANOS) {
			this.limits.remove(endpoint);
		}
	}

	/**
	 * Record that a request is sent.
	 * @param endpoint the id of the endpoint
	 * @param now the time
	 */
	public void requestSent(int endpoint, long now) {
		Limit limit = this.limits.get(endpoint);
		if (limit != null) {
			limit.sent++;
		}
	}

	/**
	 * Remove the limits that have expired, and return the others for the log.
	 * @param now the time
	 * @return the limits by the ids of their endpoints
	 */
	public Map<Integer, Status> statuses(long now) {
		this.limits.values().removeIf((limit) -> now - limit.statedAt > VALIDITY_NANOS);
		Map<Integer, Status> all = new HashMap<>();
		this.limits.forEach((endpoint, limit) -> all.put(endpoint, new Status(limit.perSecond, limit.sent)));
		return all;
	}

	/**
	 * A limit that applies.
	 *
	 * @param perSecond the limit in requests per second
	 * @param sent the requests that this VM has sent since the endpoint first stated one
	 */
	public record Status(double perSecond, int sent) {
	}

	private static final class Limit {

		private double perSecond;

		private long statedAt;

		private int sent;

		Limit(double perSecond, long now) {
			this.perSecond = perSecond;
			this.statedAt = now;
		}

		private void state(double next, long now) {
			this.perSecond = next;
			this.statedAt = now;
		}

	}

}
