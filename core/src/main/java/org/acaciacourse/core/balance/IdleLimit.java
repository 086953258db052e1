package org.acaciacourse.core.balance;

/**
 * For how long an idle connection to the endpoints of one pool may be used again. What
 * endpoints tell is not always what they do: one that drops idle connections sooner, and
 * silently, resets whatever is sent next on them. A request that must not run twice is
 * lost then, as it may have run. The first such loss teaches the limit for the pool: with
 * many endpoints and few requests to each, learning for every endpoint by itself would
 * lose a request for each of them.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class IdleLimit {

	/** Shorter rests are not the cause: requests follow each other within them. */
	private static final long MIN_IDLE_NANOS = 50_000_000L;

	/** An endpoint resets such a connection at once; a crash may hit at any time. */
	private static final long RESET_WITHIN_NANOS = 50_000_000L;

	/**
	 * The limit as a part of the rest after which a connection was lost. Drawn evenly, a
	 * rest that was too long is twice the bound in the mean.
	 */
	private static final double LIMIT_FRACTION = 0.5;

	/**
	 * How long the lesson holds. A new connection costs milliseconds, a lost request all
	 * of its worth.
	 */
	private static final long VALIDITY_NANOS = 10_000_000_000L;

	/**
	 * Losses within this time have one cause. An endpoint that loses a few answers in a
	 * hundred is met again much later.
	 */
	private static final long CORRELATION_NANOS = 3_000_000_000L;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private long limit = Long.MAX_VALUE;

	private long learnedAt = NEVER;

	private long candidateLimit = Long.MAX_VALUE;

	private long candidateAt = NEVER;

	/**
	 * A request on a kept connection was lost without any answer.
	 * @param idle how long the connection had been idle before
	 * @param elapsed the time from the request to the loss
	 * @param now the time
	 */
	public void lost(long idle, long elapsed, long now) {
		if (idle < MIN_IDLE_NANOS || elapsed > RESET_WITHIN_NANOS) {
			return;
		}
		long next = (long) (idle * LIMIT_FRACTION);
		if (now - this.candidateAt < CORRELATION_NANOS) {
			this.limit = Math.min(limit(now), Math.min(next, this.candidateLimit));
			this.learnedAt = now;
		}
		this.candidateLimit = next;
		this.candidateAt = now;
	}

	/**
	 * Return the limit in force.
	 * @param now the time
	 * @return nanoseconds, {@link Long#MAX_VALUE} if nothing was lost lately
	 */
	public long limit(long now) {
		return (now - this.learnedAt < VALIDITY_NANOS) ? this.limit : Long.MAX_VALUE;
	}

}
