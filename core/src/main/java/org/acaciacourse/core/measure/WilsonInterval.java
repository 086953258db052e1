package org.acaciacourse.core.measure;

/**
 * The 95% confidence interval of a proportion by the score method (Wilson 1927). Unlike
 * the normal approximation it stays within 0 and 1 and remains valid for few samples and
 * for proportions near 1, as the attainment of targets usually is.
 * <p>
 * Immutable and thread safe.
 *
 * @param low the lower end
 * @param high the upper end
 */
public record WilsonInterval(double low, double high) {

	private static final double Z = 1.959964;

	/**
	 * Return the interval of a proportion.
	 * @param successes the number of successes
	 * @param samples the number of samples
	 * @return the interval, from 0 to 1 if there are no samples
	 */
	public static WilsonInterval of(long successes, long samples) {
		if (samples == 0) {
			return new WilsonInterval(0, 1);
		}
		double n = samples;
		double proportion = successes / n;
		double z2 = Z * Z;
		double centre = (proportion + z2 / (2 * n)) / (1 + z2 / n);
		double halfWidth = Z * StrictMath.sqrt(proportion * (1 - proportion) / n + z2 / (4 * n * n)) / (1 + z2 / n);
		return new WilsonInterval(Math.max(0, centre - halfWidth), Math.min(1, centre + halfWidth));
	}

}
