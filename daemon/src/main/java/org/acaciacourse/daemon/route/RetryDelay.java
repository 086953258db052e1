package org.acaciacourse.daemon.route;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * When callers of requests that were not served should retry.
 * <p>
 * Thread safe: it has no state.
 */
final class RetryDelay {

	/**
	 * Shortest delay for a retry if no endpoint accepted the request; the actual delay is
	 * up to twice as long.
	 */
	private static final long MIN_MILLIS = 300;

	/** Limits that endpoints state may end at any time. */
	private static final double MAX_QUEUE_SECONDS = 10;

	private RetryDelay() {
	}

	/**
	 * Return the usual delay, spread evenly so that callers do not all retry at once.
	 * @param idHash a hash of the request's id
	 * @return the delay
	 */
	static Duration usual(long idHash) {
		return Duration.ofMillis(MIN_MILLIS + Math.floorMod(idHash, MIN_MILLIS));
	}

	/**
	 * Return the delay after which an endpoint takes requests again.
	 * @param idHash a hash of the request's id
	 * @param rest how long all endpoints rest
	 * @return the delay, spread like the usual one
	 */
	static Duration afterRest(long idHash, Duration rest) {
		return usual(idHash).plus(rest);
	}

	/**
	 * Return the delay after which the requests that wait now have been sent. While all
	 * endpoints state limits, a caller that retried sooner would meet the same queue.
	 * @param idHash a hash of the request's id
	 * @param waiting the number of requests that wait
	 * @param permittedPerSecond how many of them may be sent, empty without limits
	 * @return the delay
	 */
	static Duration behindQueue(long idHash, int waiting, OptionalDouble permittedPerSecond) {
		Duration usual = usual(idHash);
		if (permittedPerSecond.isEmpty()) {
			return usual;
		}
		double seconds = Math.min(MAX_QUEUE_SECONDS, waiting / permittedPerSecond.getAsDouble());
		return usual.plusMillis(Math.round(seconds * 1_000));
	}

}
