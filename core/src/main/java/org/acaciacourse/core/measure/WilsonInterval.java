package org.acaciacourse.core.measure;

/**
 * The 95% confidence interval of a share by the score method (Wilson 1927). Unlike the
 * normal approximation it stays within 0 and 1 and holds for few samples and for shares
 * near 1, which is where attainment lies.
 * <p>
 * Immutable and thread safe.
 *
 * @param low the lower end
 * @param high the upper end
 */
public record WilsonInterval(double low, double high) {

	private static final double Z = 1.959964;

	/**
	 * Return the interval of a share.
	 * @param successes how many samples count
	 * @param samples how many samples there are
	 * @return the interval, the whole range if there is no sample
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
