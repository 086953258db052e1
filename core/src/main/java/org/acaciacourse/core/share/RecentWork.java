package org.acaciacourse.core.share;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ObjDoubleConsumer;

import org.acaciacourse.core.measure.DecayingSum;

/**
 * Sums of recent work by customer, in which work counts less as time passes. Invariant: a
 * sum is never negative.
 * <p>
 * Not thread safe: belongs to one {@link CustomerShares}.
 */
final class RecentWork {

	/** Longer than most requests run, and short enough that a burst counts at once. */
	static final long TIME_CONSTANT_NANOS = 2_000_000_000L;

	/** Smaller sums are dropped: they don't change a share. */
	private static final double MIN_WORK = 1;

	private final Map<Integer, DecayingSum> sums = new HashMap<>();

	/**
	 * Return how much of some work still counts.
	 * @param nanos its age
	 * @return a factor from 0 to 1
	 */
	static double remaining(long nanos) {
		return Math.exp(-(double) Math.max(0, nanos) / TIME_CONSTANT_NANOS);
	}

	/**
	 * Add work, or take back what was added before.
	 * @param key the customer
	 * @param work the work in tokens, negative to take it back
	 * @param now the time
	 */
	void add(int key, double work, long now) {
		this.sums.computeIfAbsent(key, (k) -> new DecayingSum(TIME_CONSTANT_NANOS)).add(work, now);
	}

	/**
	 * Visit the sums and forget those that have decayed.
	 * @param now the time
	 * @param visitor receives each key and sum
	 */
	void forEach(long now, ObjDoubleConsumer<Integer> visitor) {
		this.sums.values().removeIf((sum) -> sum.at(now) < MIN_WORK);
		this.sums.forEach((key, sum) -> visitor.accept(key, sum.at(now)));
	}

}
