package org.acaciacourse.core.share;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Max-min fair division of a capacity (water filling): nobody gets more than its demand,
 * and what some don't need is divided among the others by weight.
 * <p>
 * Thread safe: stateless.
 */
final class FairShare {

	private FairShare() {
	}

	/**
	 * Determine the fair share.
	 * @param demands the demands
	 * @param capacity what is divided
	 * @return the share per unit of weight, infinite if all demands fit
	 */
	static double level(List<Demand> demands, double capacity) {
		List<Demand> sorted = new ArrayList<>(demands);
		sorted.sort(Comparator.comparingDouble(Demand::perWeight));
		double left = Math.max(0, capacity);
		double weight = sorted.stream().mapToDouble(Demand::weight).sum();
		for (Demand demand : sorted) {
			double level = left / weight;
			if (demand.perWeight() > level) {
				return level;
			}
			left -= demand.work();
			weight -= demand.weight();
		}
		return Double.POSITIVE_INFINITY;
	}

	/**
	 * The demand of a customer.
	 *
	 * @param work the work in tokens
	 * @param weight the customer's weight, positive
	 */
	record Demand(double work, double weight) {

		private double perWeight() {
			return this.work / this.weight;
		}

	}

}
