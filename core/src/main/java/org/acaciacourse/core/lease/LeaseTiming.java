package org.acaciacourse.core.lease;

import java.time.Duration;

/**
 * Times of a lease as its holder sees them. Invariant: the holder stops before the lease
 * can end at the replicated state machine, as long as the clocks' rates differ by no more
 * than the bound.
 * <p>
 * Immutable and thread safe.
 *
 * @param durationNanos how long a lease is asked for
 * @param renewIntervalNanos the time between renewals
 * @param driftPerThousand the bound on the difference of the clocks' rates, the catch-up
 * of {@link org.acaciacourse.core.state.ProposalClock} included
 * @param marginNanos how long before the end the holder stops: longer than a send takes
 * from its check to the network
 */
public record LeaseTiming(long durationNanos, long renewIntervalNanos, int driftPerThousand, long marginNanos) {

	public LeaseTiming {
		long usable = usable(durationNanos, driftPerThousand, marginNanos);
		if (renewIntervalNanos <= 0 || driftPerThousand < 0 || marginNanos < 0 || usable <= renewIntervalNanos) {
			throw new IllegalArgumentException("a lease must outlast the time to its renewal");
		}
	}

	/**
	 * Return times for a writer whose failure is noticed within some ten seconds.
	 * @return the defaults
	 */
	public static LeaseTiming defaults() {
		return new LeaseTiming(Duration.ofSeconds(10).toNanos(), Duration.ofSeconds(2).toNanos(), 20,
				Duration.ofMillis(500).toNanos());
	}

	/**
	 * Return how long after asking for it a holder may rely on a lease.
	 * @return the time in nanoseconds
	 */
	public long usableNanos() {
		return usable(this.durationNanos, this.driftPerThousand, this.marginNanos);
	}

	private static long usable(long duration, int driftPerThousand, long margin) {
		return duration - duration / 1_000 * driftPerThousand - margin;
	}

}
