package org.acaciacourse.core.speed;

/**
 * The speed of an endpoint from several observations.
 * <p>
 * Immutable and thread safe.
 *
 * @param logSpeed the logarithm of the speed, 0 without any observation
 * @param weight the number of observations, older ones counted in part
 */
record SpeedEstimate(double logSpeed, double weight) {

	/** The weight of an endpoint that is worth telling others about. */
	private static final double MIN_TOLD_WEIGHT = 0.5;

	boolean isWorthTelling() {
		return this.weight >= MIN_TOLD_WEIGHT;
	}

}
