package org.acaciacourse.daemon.route;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * How long a request has waited for an endpoint that accepts it, and for how long it may.
 * Invariant: the time is that since the first attempt to place the request after it was
 * last placed.
 * <p>
 * Not thread safe: belongs to the event loop of the request.
 */
final class PlacementWait {

	/** A request waits for at most its target divided by this. */
	private static final int TARGET_DIVISOR = 4;

	private static final long MIN_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	/** After a start, the list of endpoints arrives right after the configuration. */
	private static final long FLEET_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	private long since;

	/** The request was placed. */
	void end() {
		this.since = 0;
	}

	/**
	 * Return whether a request that could not be placed has waited too long.
	 * @param now the time
	 * @param target the target of the request
	 * @param fleetKnown whether the list of endpoints is known
	 * @return whether it must not wait any longer
	 */
	boolean isTooLong(long now, Duration target, boolean fleetKnown) {
		return waitedNanos(now) >= maxNanos(target, fleetKnown);
	}

	/**
	 * Return whether a request that could not be placed has waited for a time.
	 * @param now the time
	 * @param limit the time that it may wait
	 * @return whether it must not wait any longer
	 */
	boolean isLongerThan(long now, Duration limit) {
		return waitedNanos(now) >= limit.toNanos();
	}

	private long waitedNanos(long now) {
		if (this.since == 0) {
			this.since = now;
		}
		return now - this.since;
	}

	/**
	 * Return whether a request is to be refused at once as no endpoint takes it in time.
	 * @param rest how long all endpoints rest
	 * @param target the target of the request
	 * @return whether they rest for longer than a request waits
	 */
	boolean isTooLong(Duration rest, Duration target) {
		return rest.toNanos() > maxNanos(target, true);
	}

	private static long maxNanos(Duration target, boolean fleetKnown) {
		return (fleetKnown) ? Math.max(MIN_WAIT_NANOS, target.toNanos() / TARGET_DIVISOR) : FLEET_WAIT_NANOS;
	}

}
