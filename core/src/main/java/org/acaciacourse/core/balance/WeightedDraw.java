package org.acaciacourse.core.balance;

import java.util.Arrays;

import net.openhft.hashing.LongHashFunction;

/**
 * A random sample of endpoints in proportion to their weights. Each of a number of random
 * points on a line on which the endpoints take up their weights draws one endpoint;
 * several points may draw the same one.
 * <p>
 * Not thread safe: for one request.
 */
final class WeightedDraw implements CandidateSampler.Sample {

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private static final double UNIT = 0x1.0p-53;

	private final double[] points;

	private int next;

	private double visited;

	/**
	 * Make a draw.
	 * @param share the fraction to draw
	 * @param endpoints the number of endpoints
	 * @param totalWeight the sum of their weights
	 * @param salt selects the sample
	 */
	WeightedDraw(double share, int endpoints, double totalWeight, long salt) {
		this.points = new double[CandidateSampler.sampleSize(share, endpoints)];
		long hash = salt;
		for (int i = 0; i < this.points.length; i++) {
			hash = HASH.hashLong(hash + i);
			this.points[i] = (hash >>> 11) * UNIT * totalWeight;
		}
		Arrays.sort(this.points);
	}

	@Override
	public boolean isNextDrawn(double weight) {
		this.visited += weight;
		boolean drawn = false;
		while (this.next < this.points.length && this.points[this.next] < this.visited) {
			this.next++;
			drawn = true;
		}
		return drawn;
	}

}
