package org.acaciacourse.core.measure;

/**
 * A sum of values that count less as time passes, by exponential decay. Invariant: the
 * sum is never negative.
 * <p>
 * Not thread safe.
 */
public final class DecayingSum {

	private final double timeConstantNanos;

	private double sum;

	private long at;

	/**
	 * Create an empty sum.
	 * @param timeConstantNanos after how many nanoseconds a value counts by a factor of e
	 * less
	 */
	public DecayingSum(double timeConstantNanos) {
		this.timeConstantNanos = timeConstantNanos;
	}

	/**
	 * Add a value, or take back what was added before.
	 * @param value the value, negative to take it back
	 * @param now the time in nanoseconds
	 */
	public void add(double value, long now) {
		this.sum = Math.max(0, at(now) + value);
		this.at = now;
	}

	/**
	 * Return the sum.
	 * @param now the time in nanoseconds
	 * @return the values that were added, each as much as it still counts
	 */
	public double at(long now) {
		return this.sum * Math.exp(-Math.max(0, now - this.at) / this.timeConstantNanos);
	}

}
