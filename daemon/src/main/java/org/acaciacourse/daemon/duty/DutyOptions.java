package org.acaciacourse.daemon.duty;

import java.time.Duration;
import java.util.Objects;

import org.acaciacourse.core.lease.LeaseTiming;
import org.acaciacourse.core.usage.UsageTiming;

/**
 * The options of the duties of a control VM.
 * <p>
 * Immutable and thread safe.
 *
 * @param usage the timing of the usage reports
 * @param due how long after the end of a window its report is due
 * @param lease how soon after a VM has acted another VM and then this one again must not
 * act
 * @param callsPerSecond how many calls per second the platform takes from all VMs
 * @param platform carries the reports to the platform
 */
public record DutyOptions(UsageTiming usage, Duration due, Duration lease, double callsPerSecond, UsageSink platform) {

	/** Renewals take a few tens of milliseconds, more on a slow disk. */
	private static final Duration SHORTEST_LEASE = Duration.ofSeconds(2);

	private static final int RENEWALS_PER_LEASE = 3;

	/**
	 * In parts per thousand: monotonic clocks and the catch-up of the replicated time.
	 */
	private static final int DRIFT = 20;

	/** Part of the lease: covers the time from the last check to the write. */
	private static final int MARGIN_DIVISOR = 10;

	public DutyOptions {
		Objects.requireNonNull(usage, "usage");
		Objects.requireNonNull(platform, "platform");
	}

	/**
	 * Return the timing of the leases.
	 * @return the timing
	 */
	public LeaseTiming leaseTiming() {
		long nanos = Math.max(this.lease.toNanos(), SHORTEST_LEASE.toNanos());
		return new LeaseTiming(nanos, nanos / RENEWALS_PER_LEASE, DRIFT, nanos / MARGIN_DIVISOR);
	}

	/**
	 * Return how long a VM that another one has followed may not return to a lease.
	 * @return the time in milliseconds, with a reserve for calls on their way
	 */
	public long returnMillis() {
		return this.lease.toMillis() + this.lease.toMillis() / MARGIN_DIVISOR;
	}

}
