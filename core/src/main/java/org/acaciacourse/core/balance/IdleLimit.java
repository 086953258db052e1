package org.acaciacourse.core.balance;

/**
 * The time for which an idle connection to the endpoints of one pool may be reused.
 * Endpoints do not always keep the timeout that they announce: one that silently drops
 * idle connections sooner resets the next request on them. A request that must not run
 * twice is lost then, as it may have run. The limit is learned for the whole pool: with
 * many endpoints and few requests to each, learning it for each endpoint would lose a
 * request at every one of them.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class IdleLimit {

	/**
	 * Resets after a shorter idle time have other causes: consecutive requests are that
	 * close.
	 */
	private static final long MIN_IDLE_NANOS = 50_000_000L;

	/**
	 * An endpoint resets a dropped connection immediately, whereas a crash may occur at
	 * any time.
	 */
	private static final long RESET_WITHIN_NANOS = 50_000_000L;

	/**
	 * The limit as a fraction of the idle time after which a connection was lost. If idle
	 * times are uniformly distributed, one that was too long is twice the timeout on
	 * average.
	 */
	private static final double LIMIT_FRACTION = 0.5;

	/**
	 * How long a learned limit is valid. A new connection costs milliseconds, a lost
	 * request all of its value.
	 */
	private static final long VALIDITY_NANOS = 10_000_000_000L;

	/**
	 * Losses within this time are assumed to have the same cause. With an endpoint that
	 * loses a few percent of its responses, the next loss comes much later.
	 */
	private static final long CORRELATION_NANOS = 3_000_000_000L;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private long limit = Long.MAX_VALUE;

	private long learnedAt = NEVER;

	private long candidateLimit = Long.MAX_VALUE;

	private long candidateAt = NEVER;

	/**
	 * Record a request on a reused connection that was lost without any response.
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
	 * Return the current limit.
	 * @param now the time
	 * @return nanoseconds, {@link Long#MAX_VALUE} if there were no recent losses
	 */
	public long limit(long now) {
		return (now - this.learnedAt < VALIDITY_NANOS) ? this.limit : Long.MAX_VALUE;
	}

}
