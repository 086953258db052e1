package org.acaciacourse.core.order;

import org.acaciacourse.core.model.Tier;

/**
 * Limits the rate at which models are loaded from the weight store. A token bucket with
 * reserved tokens, after the trunk reservation of telephone networks (Kelly, "Loss
 * Networks", 1991). Lower tiers cannot take the last tokens, so that while a change
 * reloads the whole fleet a load needed by the highest tier starts at once instead of
 * after the whole fleet.
 * <p>
 * Invariants: in any period the number of loads started does not exceed the capacity plus
 * the rate times the period; a tier never takes the tokens reserved for higher tiers.
 * <p>
 * Not thread safe: belongs to one writer. A new writer starts with an empty bucket,
 * because the previous one may have used all tokens.
 */
public final class ModelLoadBudget {

	private final double capacity;

	private final double tokensPerNano;

	private double tokens;

	private long refilledAt;

	/**
	 * Create an empty bucket.
	 * @param capacity how many loads may start at once, at least 3, one for each tier
	 * @param perSecond how many loads may start per second in the long run
	 * @param now the current time
	 */
	public ModelLoadBudget(int capacity, double perSecond, long now) {
		if (capacity < Tier.values().length || !(perSecond > 0)) {
			throw new IllegalArgumentException(
					"capacity must be at least one token per tier and the rate must be positive");
		}
		this.capacity = capacity;
		this.tokensPerNano = perSecond / 1e9;
		this.refilledAt = now;
	}

	/**
	 * Empty the bucket.
	 * @param now the current time
	 */
	public void clear(long now) {
		this.tokens = 0;
		this.refilledAt = now;
	}

	/**
	 * Take a token for a load, if one is available to the tier.
	 * @param tier the tier that needs the load
	 * @param now the current time
	 * @return whether the load may start
	 */
	public boolean tryAcquire(Tier tier, long now) {
		this.tokens = Math.min(this.capacity, this.tokens + (now - this.refilledAt) * this.tokensPerNano);
		this.refilledAt = now;
		// One token is reserved for each tier above this one.
		if (this.tokens < 1 + tier.ordinal()) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
