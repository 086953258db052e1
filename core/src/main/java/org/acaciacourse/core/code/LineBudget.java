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

	private final int mostPerSecond;

	private long since;

	private int written;

	private long untold;

	/**
	 * Make a budget.
	 * @param mostPerSecond how many lines are written in a second
	 * @param now the time in nanoseconds
	 */
	public LineBudget(int mostPerSecond, long now) {
		this.mostPerSecond = mostPerSecond;
		this.since = now;
	}

	/**
	 * Ask for a line.
	 * @param now the time in nanoseconds
	 * @return how many lines were not written since the last one; nothing if this one is
	 * not to be written either
	 */
	public OptionalLong next(long now) {
		if (now - this.since >= SECOND_NANOS) {
			this.since = now;
			this.written = 0;
		}
		if (this.written >= this.mostPerSecond) {
			this.untold++;
			return OptionalLong.empty();
		}
		this.written++;
		long before = this.untold;
		this.untold = 0;
		return OptionalLong.of(before);
	}

}
