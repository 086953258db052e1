package org.acaciacourse.core.dispatch.learn;

import java.util.Arrays;

/**
 * The spread of a positive quantity, learnt with exponential forgetting: counts in
 * buckets whose bounds grow by a fixed factor. A quantile costs one pass over the buckets
 * and is accurate to the factor, which is enough for estimates of answers whose lengths
 * differ a hundredfold.
 * <p>
 * Invariants: memory is fixed; until {@link #EVIDENCE} values were seen the spread says
 * so and callers use a wider one.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
public final class Spread {

	/** How many values make the spread worth using. */
	public static final int EVIDENCE = 8;

	private static final int BUCKETS = 64;

	private static final double FACTOR = 1.35;

	private static final double[] BOUNDS = bounds();

	private static final double MEMORY = 400;

	private final float[] counts = new float[BUCKETS];

	private double total;

	private double sum;

	private long seen;

	/**
	 * Learn a value.
	 * @param value the value
	 */
	public void learn(double value) {
		if (this.total >= MEMORY) {
			forgetHalf();
		}
		this.counts[bucket(value)]++;
		this.total++;
		this.sum += value;
		this.seen++;
	}

	/**
	 * Return whether enough values were seen.
	 * @return whether the spread may be used
	 */
	public boolean isKnown() {
		return this.seen >= EVIDENCE;
	}

	/**
	 * Return the mean.
	 * @param defaultValue the value as long as too little is known
	 * @return the mean
	 */
	public double mean(double defaultValue) {
		return (isKnown()) ? this.sum / this.total : defaultValue;
	}

	/**
	 * Return a quantile, rounded down to the bound of its bucket.
	 * @param share the share of values at or below it, 0 to 1
	 * @param defaultValue the value as long as too little is known
	 * @return the quantile
	 */
	public double quantile(double share, double defaultValue) {
		if (!isKnown()) {
			return defaultValue;
		}
		double left = share * this.total;
		for (int i = 0; i < BUCKETS; i++) {
			left -= this.counts[i];
			if (left <= 0) {
				return BOUNDS[i];
			}
		}
		return BOUNDS[BUCKETS - 1];
	}

	private void forgetHalf() {
		for (int i = 0; i < BUCKETS; i++) {
			this.counts[i] /= 2;
		}
		this.total /= 2;
		this.sum /= 2;
	}

	private static int bucket(double value) {
		int found = Arrays.binarySearch(BOUNDS, value);
		return Math.max(0, (found >= 0) ? found : -found - 2);
	}

	private static double[] bounds() {
		double[] bounds = new double[BUCKETS];
		bounds[0] = 1;
		for (int i = 1; i < BUCKETS; i++) {
			bounds[i] = bounds[i - 1] * FACTOR;
		}
		return bounds;
	}

}
