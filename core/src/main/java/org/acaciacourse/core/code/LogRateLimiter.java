package org.acaciacourse.core.code;

import java.util.OptionalLong;

/**
 * Limits the log lines of one event per second. Under overload, when nearly every request
 * writes one, the lines would cost more processor time than the requests. Suppressed
 * lines are counted, and the next line reports their number.
 * <p>
 * Not thread safe: confined to one event loop.
 */
public final class LogRateLimiter {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private final int maxPerSecond;

	private long windowStart;

	private int written;

	private long suppressed;

	/**
	 * Create a limiter.
	 * @param maxPerSecond the maximum number of lines per second
	 * @param now the time in nanoseconds
	 */
	public LogRateLimiter(int maxPerSecond, long now) {
		this.maxPerSecond = maxPerSecond;
		this.windowStart = now;
	}

	/**
	 * Request permission to write a line.
	 * @param now the time in nanoseconds
	 * @return the number of lines suppressed since the last one; empty if this one is
	 * suppressed too
	 */
	public OptionalLong tryAcquire(long now) {
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
