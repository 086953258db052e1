package org.acaciacourse.core.clock;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the time of day on one VM as the median of the clocks of several VMs, after
 * Lamport and Melliar-Smith, "Synchronizing Clocks in the Presence of Faults" (1985). The
 * estimate itself, continued by this VM's monotonic clock, is one of the values: with few
 * other VMs it outvotes a clock that was set, and after a suspension, during which the
 * monotonic clock stood still, the other clocks outvote it.
 * <p>
 * Invariant: while the clocks of fewer than half of the VMs are off, the estimate lies
 * between values of right ones.
 * <p>
 * Thread safe.
 */
public final class MedianClock {

	/** A VM that has not told its time for this long has no part in the estimate. */
	private static final long MAX_AGE_NANOS = Duration.ofSeconds(5).toNanos();

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int MAX_VMS = 4_096;

	private final Map<String, Sample> samples = new HashMap<>();

	/** Time of day less monotonic clock; empty before the first estimate. */
	private Long offsetMillis;

	/**
	 * Record the time of day that another VM has told.
	 * @param vm the VM
	 * @param timeMillis its time of day in milliseconds since the epoch
	 * @param now this VM's monotonic clock in nanoseconds
	 */
	public synchronized void record(String vm, long timeMillis, long now) {
		this.samples.values().removeIf((sample) -> now - sample.at() > MAX_AGE_NANOS);
		if (this.samples.size() < MAX_VMS || this.samples.containsKey(vm)) {
			this.samples.put(vm, new Sample(timeMillis - now / NANOS_PER_MILLI, now));
		}
	}

	/**
	 * Estimate the time of day.
	 * @param ownMillis this VM's time of day in milliseconds since the epoch
	 * @param now its monotonic clock in nanoseconds
	 * @return milliseconds since the epoch
	 */
	public synchronized long estimate(long ownMillis, long now) {
		long own = ownMillis - now / NANOS_PER_MILLI;
		long previous = (this.offsetMillis != null) ? this.offsetMillis : own;
		long[] offsets = this.samples.values()
			.stream()
			.filter((sample) -> now - sample.at() <= MAX_AGE_NANOS)
			.mapToLong(Sample::offsetMillis)
			.toArray();
		long[] all = Arrays.copyOf(offsets, offsets.length + 2);
		all[offsets.length] = own;
		all[offsets.length + 1] = previous;
		Arrays.sort(all);
		long lower = all[(all.length - 1) / 2];
		long upper = all[all.length / 2];
		// Two clocks that differ have no median: the estimate stays where it was.
		this.offsetMillis = Math.max(lower, Math.min(upper, previous));
		return this.offsetMillis + now / NANOS_PER_MILLI;
	}

	private record Sample(long offsetMillis, long at) {
	}

}
