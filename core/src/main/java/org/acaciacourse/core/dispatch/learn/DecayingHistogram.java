package org.acaciacourse.core.dispatch.learn;

import java.util.Arrays;

/**
 * A histogram of a positive quantity with exponential decay. The bounds of its buckets
 * grow by a fixed factor. A quantile costs one pass over the buckets and is accurate to
 * that factor, which is enough for estimates of responses whose lengths differ by a
 * factor of a hundred.
 * <p>
 * Invariants: memory is fixed; until {@link #MIN_SAMPLES} values were recorded,
 * {@link #hasEnoughSamples} is false and a broader histogram or a default value is to be
 * used.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
public final class DecayingHistogram {

	/** The number of values that must be recorded before the histogram is used. */
	public static final int MIN_SAMPLES = 8;

	private static final int BUCKETS = 64;

	private static final double BUCKET_GROWTH = 1.35;

	private static final double[] LOWER_BOUNDS = bounds();

	private static final double MAX_WEIGHT = 400;

	private final float[] counts = new float[BUCKETS];

	private double totalWeight;

	private double weightedSum;

	private long sampleCount;

	/**
	 * Record a value.
	 * @param value the value
	 */
	public void record(double value) {
		if (this.totalWeight >= MAX_WEIGHT) {
			halveWeights();
		}
		this.counts[bucket(value)]++;
		this.totalWeight++;
		this.weightedSum += value;
		this.sampleCount++;
	}

	/**
	 * Return whether enough values were recorded.
	 * @return whether the histogram may be used
	 */
	public boolean hasEnoughSamples() {
		return this.sampleCount >= MIN_SAMPLES;
	}

	/**
	 * Return the mean.
	 * @param defaultValue the result while there are too few samples
	 * @return the mean
	 */
	public double mean(double defaultValue) {
		return (hasEnoughSamples()) ? this.weightedSum / this.totalWeight : defaultValue;
	}

	/**
	 * Return a quantile, rounded down to the lower bound of its bucket.
	 * @param fraction the fraction of values at or below the quantile, 0 to 1
	 * @param defaultValue the result while there are too few samples
	 * @return the quantile
	 */
	public double quantile(double fraction, double defaultValue) {
		if (!hasEnoughSamples()) {
			return defaultValue;
		}
		double left = fraction * this.totalWeight;
		for (int i = 0; i < BUCKETS; i++) {
			left -= this.counts[i];
			if (left <= 0) {
				return LOWER_BOUNDS[i];
			}
		}
		return LOWER_BOUNDS[BUCKETS - 1];
	}

	private void halveWeights() {
		for (int i = 0; i < BUCKETS; i++) {
			this.counts[i] /= 2;
		}
		this.totalWeight /= 2;
		this.weightedSum /= 2;
	}

	private static int bucket(double value) {
		int found = Arrays.binarySearch(LOWER_BOUNDS, value);
		return Math.max(0, (found >= 0) ? found : -found - 2);
	}

	private static double[] bounds() {
		double[] bounds = new double[BUCKETS];
		bounds[0] = 1;
		for (int i = 1; i < BUCKETS; i++) {
			bounds[i] = bounds[i - 1] * BUCKET_GROWTH;
		}
		return bounds;
	}

}
