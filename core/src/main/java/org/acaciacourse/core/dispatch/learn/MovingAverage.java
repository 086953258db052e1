package org.acaciacourse.core.dispatch.learn;

/**
 * An exponential moving average that is updated with each value and starts at the first.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
public final class MovingAverage {

	private final double gain;

	private double value;

	private boolean initialized;

	/**
	 * Create an average without a value.
	 * @param gain the weight of a new value, 0 to 1
	 */
	public MovingAverage(double gain) {
		this.gain = gain;
	}

	/**
	 * Add a value.
	 * @param next the value
	 */
	public void update(double next) {
		this.value = (this.initialized) ? this.value + this.gain * (next - this.value) : next;
		this.initialized = true;
	}

	/**
	 * Move the average towards a value, for example because it is outdated.
	 * @param target the value
	 * @param share the fraction of the distance to move, 0 to 1
	 */
	public void relaxTowards(double target, double share) {
		this.value += share * (target - this.value);
	}

	/**
	 * Return whether there was any value.
	 * @return whether the average is initialized
	 */
	public boolean isInitialized() {
		return this.initialized;
	}

	/**
	 * Return the average.
	 * @param defaultValue the result if there was no value
	 * @return the average
	 */
	public double get(double defaultValue) {
		return (this.initialized) ? this.value : defaultValue;
	}

	/**
	 * Discard all values.
	 */
	public void reset() {
		this.initialized = false;
		this.value = 0;
	}

}
