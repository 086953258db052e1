package org.acaciacourse.core.balance;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import net.openhft.hashing.LongHashFunction;

/**
 * The times for which endpoints have asked this VM to send them nothing. Unlike a pause,
 * which is this VM's own guess, a rest holds whatever else is seen of the endpoint and
 * whatever the routing policy is.
 * <p>
 * A rest is prolonged by a fraction that differs between VMs and endpoints. Otherwise,
 * VMs that were refused at the same time would all return at the same time.
 * <p>
 * Invariant: a rest ends by time or with the run of its endpoint; a shorter one that is
 * asked for later does not end it sooner.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class EndpointRests {

	/**
	 * The longest rest. An endpoint that asks for more is asked again after it, so that a
	 * damaged number does not exclude it for good.
	 */
	private static final Duration MAX_REST = Duration.ofHours(1);

	/** The largest fraction by which a rest is prolonged. */
	private static final double MAX_SPREAD = 0.2;

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private static final int HASH_STEPS = 1_000;

	private final String self;

	/** When the rests end, by the instances of their endpoints. */
	private final Map<String, Long> ends = new HashMap<>();

	/**
	 * Create the rests that a VM was asked for.
	 * @param self the address of the VM, empty if it knows no others
	 */
	public EndpointRests(String self) {
		this.self = self;
	}

	/**
	 * Record that an endpoint asked for a rest.
	 * @param instance the endpoint
	 * @param rest how long it wants no requests of this VM
	 * @param now the time
	 */
	public void ask(String instance, Duration rest, long now) {
		long nanos = ((rest.compareTo(MAX_REST) < 0) ? rest : MAX_REST).toNanos();
		long spread = Math.round(nanos * spread(instance));
		if (nanos + spread > remaining(instance, now).toNanos()) {
			this.ends.put(instance, now + nanos + spread);
		}
	}

	private double spread(String instance) {
		long hash = HASH.hashBytes((instance + "/" + this.self).getBytes(StandardCharsets.UTF_8));
		return MAX_SPREAD * Math.floorMod(hash, HASH_STEPS) / HASH_STEPS;
	}

	/**
	 * Return whether an endpoint must not get a request.
	 * @param instance the endpoint
	 * @param now the time
	 * @return whether it asked for a rest that has not ended
	 */
	public boolean isResting(String instance, long now) {
		return !remaining(instance, now).isZero();
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
	 * End the rest of an endpoint that has started again.
	 * @param instance the endpoint
	 */
	public void ended(String instance) {
		this.ends.remove(instance);
	}

	/**
	 * Remove the rests that have ended.
	 * @param now the time
	 */
	public void sweep(long now) {
		this.ends.values().removeIf((end) -> end - now <= 0);
	}

}
