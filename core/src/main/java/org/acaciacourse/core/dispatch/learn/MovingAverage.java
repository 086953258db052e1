package org.acaciacourse.core.dispatch.learn;

/**
 * A moving average with exponential forgetting by count, which starts at the first value.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
public final class MovingAverage {

	private final double gain;

	private double value;

	private boolean initialized;

	/**
	 * Create an average that knows nothing.
	 * @param gain the weight of a new value, 0 to 1
	 */
	public MovingAverage(double gain) {
		this.gain = gain;
	}

	/**
	 * Learn a value.
	 * @param next the value
	 */
	public void update(double next) {
		this.value = (this.initialized) ? this.value + this.gain * (next - this.value) : next;
		this.initialized = true;
	}

	/**
	 * Pull the average towards a value, as if time had made it doubtful.
	 * @param target the value
	 * @param share how far to go, 0 to 1
	 */
	public void relaxTowards(double target, double share) {
		this.value += share * (target - this.value);
	}

	/**
	 * Return whether a value was learnt.
	 * @return whether the average is known
	 */
	public boolean isInitialized() {
		return this.initialized;
	}

	/**
	 * Return the average.
	 * @param defaultValue the value if nothing was learnt
	 * @return the average
	 */
	public double get(double defaultValue) {
		return (this.initialized) ? this.value : defaultValue;
	}

	/**
	 * Forget everything.
	 */
	public void reset() {
		this.initialized = false;
		this.value = 0;
	}

}
