package org.acaciacourse.daemon.operator;

/**
 * The 95 % score interval of a proportion (Wilson, "Probable Inference, the Law of
 * Succession, and Statistical Inference", 1927). It stays within 0 and 1 and holds for
 * small samples and for proportions near 0 or 1, where the usual interval collapses to a
 * point.
 * <p>
 * Immutable and thread safe.
 *
 * @param low the lower end
 * @param high the upper end
 */
record WilsonInterval(double low, double high) {

	private static final double Z = 1.959964;

	/**
	 * Work out the interval.
	 * @param hits how many of the sample have the property
	 * @param sample the size of the sample
	 * @return the interval, everything for an empty sample
	 */
	static WilsonInterval of(long hits, long sample) {
		if (sample <= 0) {
			return new WilsonInterval(0, 1);
		}
		double p = (double) hits / sample;
		double scale = 1 + Z * Z / sample;
		double centre = (p + Z * Z / (2 * sample)) / scale;
		double half = Z * Math.sqrt(p * (1 - p) / sample + Z * Z / (4.0 * sample * sample)) / scale;
		return new WilsonInterval(Math.max(0, centre - half), Math.min(1, centre + half));
	}

}
