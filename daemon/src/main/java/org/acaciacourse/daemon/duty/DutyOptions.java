package org.acaciacourse.daemon.duty;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.acaciacourse.core.lease.LeaseTiming;
import org.acaciacourse.core.usage.UsageTiming;

/**
 * The options of the duties of a control VM.
 * <p>
 * Immutable and thread safe.
 *
 * @param usage the usage reports, if they are a duty
 * @param orders the orders of endpoints, if they are a duty
 * @param lease how soon after a VM has acted another VM and then this one again must not
 * act
 * @param callsPerSecond how many calls per second the platform takes from all VMs
 */
public record DutyOptions(Optional<Usage> usage, Optional<Orders> orders, Duration lease, double callsPerSecond) {

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
		Objects.requireNonNull(orders, "orders");
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

	/**
	 * The options of usage reports.
	 *
	 * @param timing the timing
	 * @param due how long after the end of a window its report is due
	 * @param platform carries the reports to the platform
	 */
	public record Usage(UsageTiming timing, Duration due, UsageSink platform) {
	}

	/**
	 * The options of orders of endpoints.
	 *
	 * @param reserve the number of reclaimable endpoints for each permanent one that they
	 * replace
	 * @param platform carries the orders to the platform
	 */
	public record Orders(double reserve, EndpointOrderSink platform) {
	}

}
