package org.acaciacourse.core.usage;

import java.time.Duration;

/**
 * The timing of a {@link UsageReporter}.
 * <p>
 * Immutable and thread safe.
 *
 * @param windows the windows
 * @param settleMillis how long after the end of a window the counts are first collected:
 * longer than the interval at which entry VMs tell theirs
 * @param collectNanos the interval between two collections of a window
 * @param longestWaitMillis how long after the end of a window it is fixed although the
 * counts of some entry VMs are missing
 * @param abstainNanos how long a VM that cannot reach the platform leaves the duty to
 * others
 */
public record UsageTiming(UsageWindows windows, long settleMillis, long collectNanos, long longestWaitMillis,
		long abstainNanos) {

	/** An entry VM's poll takes up to 0.9 s, and the clocks of VMs differ a little. */
	private static final Duration SETTLE = Duration.ofMillis(1_200);

	private static final Duration COLLECT = Duration.ofMillis(500);

	private static final Duration ABSTAIN = Duration.ofSeconds(10);

	/** The part of the time until a report is due that may pass before it is sent. */
	private static final int WAIT_DIVISOR = 2;

	public UsageTiming {
		if (settleMillis < 0 || collectNanos <= 0 || longestWaitMillis < settleMillis || abstainNanos < 0) {
			throw new IllegalArgumentException("the longest wait of " + longestWaitMillis
					+ " ms must not be shorter than the settling time of " + settleMillis + " ms, nor any negative");
		}
	}

	/**
	 * Return the timing for reports that are due some time after the end of their window.
	 * @param length the length of a window
	 * @param due the time after its end
	 * @return the timing
	 */
	public static UsageTiming of(Duration length, Duration due) {
		long longest = Math.max(1, due.toMillis() / WAIT_DIVISOR);
		return new UsageTiming(new UsageWindows(length.toMillis()), Math.min(SETTLE.toMillis(), longest),
				COLLECT.toNanos(), longest, ABSTAIN.toNanos());
	}

}
