package org.acaciacourse.core.scaling;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the demand for each pool at one entry VM, in seconds of a monotonic clock, and
 * tells that of the last second that is over. A second in which nothing was counted has
 * no demand but the tokens that requests still hold.
 * <p>
 * Invariant: what {@link #last} returns does not change within a second.
 * <p>
 * Thread safe.
 */
public final class DemandCounter {

	private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

	private final Map<String, Count> counts = new HashMap<>();

	private Map<String, PoolDemand> last = Map.of();

	private long second = Long.MIN_VALUE;

	/**
	 * Count a request that is sent to an endpoint for the first time.
	 * @param pool the name of the pool
	 * @param tokens its prompt tokens that are not cached there
	 * @param now the monotonic time in nanoseconds
	 */
	public synchronized void sent(String pool, long tokens, long now) {
		Count count = count(pool, now);
		count.begun++;
		count.prefillTokens += tokens;
		count.heldTokens += tokens;
	}

	/**
	 * Count the beginning of an answer.
	 * @param pool the name of the pool
	 * @param waitNanos the time since the request was read
	 * @param targetNanos the time until which the answer should have begun
	 * @param now the monotonic time in nanoseconds
	 */
	public synchronized void answerBegan(String pool, long waitNanos, long targetNanos, long now) {
		Count count = count(pool, now);
		count.largestWaitNanos = Math.max(count.largestWaitNanos, waitNanos);
		if (waitNanos > targetNanos) {
			count.late++;
		}
	}

	/**
	 * Count an event that was forwarded.
	 * @param pool the name of the pool
	 * @param now the monotonic time in nanoseconds
	 */
	public synchronized void eventForwarded(String pool, long now) {
		Count count = count(pool, now);
		count.outputTokens++;
		count.heldTokens++;
	}

	/**
	 * Count a request that was refused for lack of capacity.
	 * @param pool the name of the pool
	 * @param now the monotonic time in nanoseconds
	 */
	public synchronized void refused(String pool, long now) {
		count(pool, now).refused++;
	}

	/**
	 * A request has ended and holds nothing any more.
	 * @param pool the name of the pool
	 * @param tokens the tokens that were counted for it, prompt and events
	 * @param now the monotonic time in nanoseconds
	 */
	public synchronized void released(String pool, long tokens, long now) {
		count(pool, now).heldTokens -= tokens;
	}

	/**
	 * Return the demand of the last second that is over.
	 * @param now the monotonic time in nanoseconds
	 * @return the demand by the names of the pools that were asked for since the start
	 */
	public synchronized Map<String, PoolDemand> last(long now) {
		advance(now);
		return this.last;
	}

	private Count count(String pool, long now) {
		advance(now);
		return this.counts.computeIfAbsent(pool, (name) -> new Count());
	}

	private void advance(long now) {
		long current = Math.floorDiv(now, SECOND_NANOS);
		// Callers on several threads read the clock before they are admitted here, so
		// that the time of one may be before that of another.
		if (current <= this.second) {
			return;
		}
		// The counts are of an earlier second than the last one if nothing happened
		// since.
		boolean consecutive = current == this.second + 1;
		Map<String, PoolDemand> ended = new HashMap<>();
		this.counts.forEach((pool, count) -> {
			ended.put(pool, (consecutive) ? count.demand() : count.idle());
			count.reset();
		});
		this.last = Map.copyOf(ended);
		this.second = current;
	}

	private static final class Count {

		private long prefillTokens;

		private long outputTokens;

		private long begun;

		private long refused;

		private long late;

		private long largestWaitNanos;

		private long heldTokens;

		private PoolDemand demand() {
			return new PoolDemand(this.prefillTokens, this.outputTokens, this.begun, this.refused, this.late,
					Duration.ofNanos(this.largestWaitNanos).toMillis(), this.heldTokens);
		}

		private PoolDemand idle() {
			return new PoolDemand(0, 0, 0, 0, 0, 0, this.heldTokens);
		}

		private void reset() {
			this.prefillTokens = 0;
			this.outputTokens = 0;
			this.begun = 0;
			this.refused = 0;
			this.late = 0;
			this.largestWaitNanos = 0;
		}

	}

}
