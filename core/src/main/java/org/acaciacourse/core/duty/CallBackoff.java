package org.acaciacourse.core.duty;

import java.time.Duration;
import java.util.Random;

/**
 * Times the calls to the platform: a least distance between two calls, and after failures
 * a delay that doubles up to a limit, with jitter (Brooker, "Exponential Backoff and
 * Jitter", 2015).
 * <p>
 * Not thread safe.
 */
public final class CallBackoff {

	private static final long FIRST_DELAY_NANOS = Duration.ofMillis(400).toNanos();

	private static final long MAX_DELAY_NANOS = Duration.ofSeconds(4).toNanos();

	/** The part of the permitted rate that repeats may use up. */
	private static final double RATE_SHARE = 0.25;

	private final long distanceNanos;

	private final Random random;

	private long delayNanos;

	private long notBefore = Long.MIN_VALUE;

	/**
	 * Create a backoff without failures.
	 * @param callsPerSecond how many calls per second the platform takes from all VMs
	 * @param random the source of the jitter
	 */
	public CallBackoff(double callsPerSecond, Random random) {
		if (!(callsPerSecond > 0)) {
			throw new IllegalArgumentException("rate of calls must be positive: " + callsPerSecond);
		}
		this.distanceNanos = (long) (1e9 / (callsPerSecond * RATE_SHARE));
		this.random = random;
	}

	/**
	 * Return whether a call may be made.
	 * @param now the time in nanoseconds
	 * @return whether the delay is over
	 */
	public boolean mayCall(long now) {
		return now >= this.notBefore;
	}

	/**
	 * Record that a call is made.
	 * @param now the time in nanoseconds
	 */
	public void called(long now) {
		this.notBefore = now + this.distanceNanos;
	}

	/** Record that a call was carried out. */
	public void succeeded() {
		this.delayNanos = 0;
	}

	/**
	 * Record that a call failed.
	 * @param now the time in nanoseconds
	 */
	public void failed(long now) {
		this.delayNanos = Math.min(MAX_DELAY_NANOS, Math.max(FIRST_DELAY_NANOS, 2 * this.delayNanos));
		long jittered = this.delayNanos / 2 + (long) (this.random.nextDouble() * this.delayNanos / 2);
		this.notBefore = Math.max(this.notBefore, now + jittered);
	}

}
