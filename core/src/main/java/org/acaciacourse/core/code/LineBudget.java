package org.acaciacourse.core.code;

import java.util.OptionalLong;

/**
 * Bounds the lines of one event in each second. In an overload where nearly every request
 * has one, the lines would cost more processor time than the requests; those that are not
 * written are counted, and the next line tells their number.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class LineBudget {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private final int maxPerSecond;

	private long windowStart;

	private int written;

	private long suppressed;

	/**
	 * Make a budget.
	 * @param maxPerSecond how many lines are written in a second
	 * @param now the time in nanoseconds
	 */
	public LineBudget(int maxPerSecond, long now) {
		this.maxPerSecond = maxPerSecond;
		this.windowStart = now;
	}

	/**
	 * Ask for a line.
	 * @param now the time in nanoseconds
	 * @return how many lines were not written since the last one; nothing if this one is
	 * not to be written either
	 */
	public OptionalLong next(long now) {
		if (now - this.windowStart >= SECOND_NANOS) {
			this.windowStart = now;
			this.written = 0;
		}
		if (this.written >= this.maxPerSecond) {
			this.suppressed++;
			return OptionalLong.empty();
		}
		this.written++;
		long suppressedBefore = this.suppressed;
		this.suppressed = 0;
		return OptionalLong.of(suppressedBefore);
	}

}
