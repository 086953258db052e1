package org.acaciacourse.core.balance;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * The times for which endpoints have asked this VM to send them nothing. Invariant: a
 * rest ends by time only; a shorter one that is asked for later does not end it sooner.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class EndpointRests {

	/**
	 * The longest rest. An endpoint that asks for more is asked again after it, so that a
	 * damaged number does not exclude it for good.
	 */
	private static final Duration MAX_REST = Duration.ofHours(1);

	/** When the rests end, by the instances of their endpoints. */
	private final Map<String, Long> ends = new HashMap<>();

	/**
	 * Record that an endpoint asked for a rest.
	 * @param instance the endpoint
	 * @param rest how long it wants no requests of this VM
	 * @param now the time
	 */
	public void ask(String instance, Duration rest, long now) {
		long nanos = ((rest.compareTo(MAX_REST) < 0) ? rest : MAX_REST).toNanos();
		if (nanos > remaining(instance, now).toNanos()) {
			this.ends.put(instance, now + nanos);
		}
	}

	/**
	 * Return how long an endpoint rests from now on.
	 * @param instance the endpoint
	 * @param now the time
	 * @return the time, zero if it takes requests
	 */
	public Duration remaining(String instance, long now) {
		Long end = this.ends.get(instance);
		return (end != null) ? Duration.ofNanos(Math.max(0, end - now)) : Duration.ZERO;
	}

	/**
	 * Remove the rests that have ended.
	 * @param now the time
	 */
	public void sweep(long now) {
		this.ends.values().removeIf((end) -> end - now <= 0);
	}

}
