package org.acaciacourse.core.lease;

import java.time.Duration;

/**
 * The timing of a lease on the side of its holder. Invariant: the holder stops using the
 * lease before it can expire in the replicated state machine, as long as the rates of the
 * clocks differ by no more than the drift bound.
 * <p>
 * Immutable and thread safe.
 *
 * @param durationNanos the requested duration of the lease
 * @param renewIntervalNanos the interval between renewals
 * @param driftPerThousand the bound on the difference of the clock rates, including the
 * catch-up of {@link org.acaciacourse.core.state.ProposalClock}
 * @param marginNanos how long before the expiry the holder stops; must be longer than the
 * time from the check before a send to the write to the network
 */
public record LeaseTiming(long durationNanos, long renewIntervalNanos, int driftPerThousand, long marginNanos) {

	public LeaseTiming {
		long usable = usable(durationNanos, driftPerThousand, marginNanos);
		if (renewIntervalNanos <= 0 || driftPerThousand < 0 || marginNanos < 0 || usable <= renewIntervalNanos) {
			throw new IllegalArgumentException(
					"usable lease time of " + usable + " ns must exceed the positive renewal interval of "
							+ renewIntervalNanos + " ns; drift and margin must not be negative");
		}
	}

	/**
	 * Return the timing with which a failed holder is replaced after about ten seconds.
	 * @return the default timing
	 */
	public static LeaseTiming defaults() {
		return new LeaseTiming(Duration.ofSeconds(10).toNanos(), Duration.ofSeconds(2).toNanos(), 20,
				Duration.ofMillis(500).toNanos());
	}

	/**
	 * Return how long after its request a holder may rely on the lease.
	 * @return the time in nanoseconds
	 */
	public long usableNanos() {
		return usable(this.durationNanos, this.driftPerThousand, this.marginNanos);
	}

	private static long usable(long duration, int driftPerThousand, long margin) {
		return duration - duration / 1_000 * driftPerThousand - margin;
	}

}
