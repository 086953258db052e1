package org.acaciacourse.core.dispatch.learn;

/**
 * A moving average with exponential forgetting by count, which starts at the first value.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
public final class Average {

	private final double gain;

	private double value;

	private boolean known;

	/**
	 * Create an average that knows nothing.
	 * @param gain the weight of a new value, 0 to 1
	 */
	public Average(double gain) {
		this.gain = gain;
	}

	/**
	 * Learn a value.
	 * @param next the value
	 */
	public void learn(double next) {
		this.value = (this.known) ? this.value + this.gain * (next - this.value) : next;
		this.known = true;
	}

	/**
	 * Pull the average towards a value, as if time had made it doubtful.
	 * @param target the value
	 * @param share how far to go, 0 to 1
	 */
	public void relax(double target, double share) {
		this.value += share * (target - this.value);
	}

	/**
	 * Return whether a value was learnt.
	 * @return whether the average is known
	 */
	public boolean isKnown() {
		return this.known;
	}

	/**
	 * Return the average.
	 * @param defaultValue the value if nothing was learnt
	 * @return the average
	 */
	public double get(double defaultValue) {
		return (this.known) ? this.value : defaultValue;
	}

	/**
	 * Forget everything.
	 */
	public void reset() {
		this.known = false;
		this.value = 0;
	}

}
