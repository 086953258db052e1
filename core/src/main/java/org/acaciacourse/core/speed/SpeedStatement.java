package org.acaciacourse.core.speed;

/**
 * The speed of an endpoint as one or several entry VMs observed it, for the others.
 * Invariant: speed and weight are within their ranges.
 * <p>
 * Immutable and thread safe.
 *
 * @param endpoint the id of the endpoint in digests
 * @param thousandths its speed relative to the median of its pool, in thousandths
 * @param weight the number of observations in the last 20 seconds
 */
public record SpeedStatement(int endpoint, int thousandths, int weight) {

	/** Slower and faster endpoints count as this slow and this fast. */
	static final double MIN_SPEED = 0.2;

	static final double MAX_SPEED = 5;

	private static final int UNIT = 1_000;

	/** Bounds the influence of a single VM. */
	private static final int MAX_WEIGHT = 1_000;

	public SpeedStatement {
		if (!isValid(thousandths, weight)) {
			throw new IllegalArgumentException(
					"invalid speed of endpoint " + endpoint + ": " + thousandths + ", weight " + weight);
		}
	}

	/**
	 * Return whether a statement may be made of these values.
	 * @param thousandths the speed in thousandths
	 * @param weight the weight
	 * @return whether both are within their ranges
	 */
	public static boolean isValid(int thousandths, int weight) {
		return thousandths >= MIN_SPEED * UNIT && thousandths <= MAX_SPEED * UNIT && weight >= 1
				&& weight <= MAX_WEIGHT;
	}

	static SpeedStatement of(int endpoint, double logSpeed, double weight) {
		return new SpeedStatement(endpoint, (int) Math.round(Math.exp(bounded(logSpeed)) * UNIT),
				(int) Math.max(1, Math.min(MAX_WEIGHT, Math.round(weight))));
	}

	static double bounded(double logSpeed) {
		return Math.max(Math.log(MIN_SPEED), Math.min(Math.log(MAX_SPEED), logSpeed));
	}

	double logSpeed() {
		return Math.log((double) this.thousandths / UNIT);
	}

}
