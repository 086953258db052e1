package org.acaciacourse.core.order;

import org.acaciacourse.core.model.Tier;

/**
 * The loads that the weight store permits, as a token bucket with reserves (after the
 * trunk reservation of telephone networks; Kelly, "Loss Networks", 1991). When a change
 * reloads the whole fleet, a lower tier may not take the last tokens, so that a load that
 * the highest tier needs in the midst of it starts at once and not after the whole fleet.
 * <p>
 * Invariants: over any time the loads started do not exceed the capacity plus the rate
 * times that time; the tokens kept back from a tier are never taken by it.
 * <p>
 * Not thread safe: belongs to one writer. A new writer starts it empty, because the last
 * one may have spent all.
 */
public final class WeightBudget {

	private final double capacity;

	private final double tokensPerNano;

	private double tokens;

	private long refilledAt;

	/**
	 * Make an empty bucket.
	 * @param capacity how many loads may start at once, at least 3 so that each tier has
	 * a token of its own
	 * @param perSecond how many loads may start a second
	 * @param now the time
	 */
	public WeightBudget(int capacity, double perSecond, long now) {
		if (capacity < Tier.values().length || !(perSecond > 0)) {
			throw new IllegalArgumentException("each tier needs a token, and tokens must come in");
		}
		this.capacity = capacity;
		this.tokensPerNano = perSecond / 1e9;
		this.refilledAt = now;
	}

	/**
	 * Empty the bucket.
	 * @param now the time
	 */
	public void clear(long now) {
		this.tokens = 0;
		this.refilledAt = now;
	}

	/**
	 * Take a token for a load, if the tier may.
	 * @param tier the tier that needs the load
	 * @param now the time
	 * @return whether the load may start
	 */
	public boolean tryAcquire(Tier tier, long now) {
		this.tokens = Math.min(this.capacity, this.tokens + (now - this.refilledAt) * this.tokensPerNano);
		this.refilledAt = now;
		// A token is kept for each tier above this one.
		if (this.tokens < 1 + tier.ordinal()) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
