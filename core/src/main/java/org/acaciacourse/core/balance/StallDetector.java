package org.acaciacourse.core.balance;

import java.util.OptionalLong;

/**
 * Detects that an event loop did not run for a while, because its process was frozen or
 * had no processor time, or its VM was suspended. What the loop reads right after such a
 * stall may have been sent at any time during the stall.
 * <p>
 * Invariant: what is read while {@link #isCatchingUp} is false was sent at most
 * {@value #MAX_LATENESS_MILLIS} ms before, apart from delays of the network.
 * <p>
 * Not thread safe: belongs to one event loop. The steady clock never goes back; the time
 * of day may.
 */
public final class StallDetector {

	/** The interval at which the loop calls {@link #tick}, in milliseconds. */
	public static final long TICK_MILLIS = 100;

	/** Longer than the usual work of an event loop between two reads. */
	private static final long MAX_LATENESS_MILLIS = 300;

	/** Connections that were opened during a stall are read a few rounds after it. */
	private static final int TICKS_TO_CATCH_UP = 3;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private long tickedAt;

	private long timeOfDay;

	private int timelyTicks = TICKS_TO_CATCH_UP;

	/**
	 * Create a detector.
	 * @param now the time of the steady clock, in nanoseconds
	 * @param timeOfDay the time of day, in milliseconds
	 */
	public StallDetector(long now, long timeOfDay) {
		this.tickedAt = now;
		this.timeOfDay = timeOfDay;
	}

	/**
	 * Record that the loop runs; called at the interval of a tick.
	 * @param now the time of the steady clock, in nanoseconds
	 * @param wallClock the time of day, in milliseconds
	 * @return how long the loop had stalled, in milliseconds, empty if it had not
	 */
	public OptionalLong tick(long now, long wallClock) {
		long late = latenessMillis(now, wallClock);
		boolean stalled = late > MAX_LATENESS_MILLIS;
		this.timelyTicks = (stalled) ? 0 : Math.min(TICKS_TO_CATCH_UP, this.timelyTicks + 1);
		this.tickedAt = now;
		this.timeOfDay = wallClock;
		return (stalled) ? OptionalLong.of(late) : OptionalLong.empty();
	}

	/**
	 * Return whether a request may have been sent well before now, because it was held
	 * since it was read, or read after a stall.
	 * @param readAt when the request was read, by the steady clock
	 * @param now the time of the steady clock, in nanoseconds
	 * @param wallClock the time of day, in milliseconds
	 * @return whether the request may be old
	 */
	public boolean mayBeOld(long readAt, long now, long wallClock) {
		return (now - readAt) / NANOS_PER_MILLI > MAX_LATENESS_MILLIS || isCatchingUp(now, wallClock);
	}

	/**
	 * Return whether what is read now may have been sent during a stall.
	 * @param now the time of the steady clock, in nanoseconds
	 * @param wallClock the time of day, in milliseconds
	 * @return whether the loop is stalled or has only just resumed
	 */
	public boolean isCatchingUp(long now, long wallClock) {
		return this.timelyTicks < TICKS_TO_CATCH_UP || latenessMillis(now, wallClock) > MAX_LATENESS_MILLIS;
	}

	// The steady clock does not count the time for which a VM is suspended.
	private long latenessMillis(long now, long wallClock) {
		return Math.max((now - this.tickedAt) / NANOS_PER_MILLI, wallClock - this.timeOfDay) - TICK_MILLIS;
	}

}
