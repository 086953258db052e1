package org.acaciacourse.core.scaling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.acaciacourse.core.route.PoolScaling;

/**
 * Splits the endpoints of a pool over data centres at the lowest price such that the loss
 * of any one data centre leaves enough for the need, and all together hold the need with
 * its reserve. Where the bounds do not permit that, it is as much as they permit.
 * <p>
 * Thread safe: stateless.
 */
final class CapacitySplit {

	/** Bounds the time that a split takes in a pool with many endpoints. */
	private static final int MAX_CANDIDATES = 512;

	private CapacitySplit() {
	}

	/**
	 * Split the endpoints.
	 * @param need how many endpoints the demand needs
	 * @param reserve how many endpoints are ordered for each one that is needed
	 * @param scaling the bounds of each data centre and the prices
	 * @param dataCentres the data centres
	 * @return the number of endpoints by data centre
	 */
	static Map<String, Integer> of(int need, double reserve, PoolScaling scaling, Set<String> dataCentres) {
		List<String> cheapestFirst = dataCentres.stream()
			.sorted(Comparator.comparingDouble(scaling::price).thenComparing(Comparator.naturalOrder()))
			.toList();
		int wanted = (int) Math.ceil(need * reserve);
		if (cheapestFirst.size() < 2) {
			return fill(cheapestFirst, wanted, scaling.max(), scaling);
		}
		Map<String, Integer> best = Map.of();
		int step = 1 + (scaling.max() - scaling.min()) / MAX_CANDIDATES;
		for (int cap = scaling.min(); cap <= scaling.max(); cap += step) {
			Map<String, Integer> split = fill(cheapestFirst, Math.max(wanted, need + cap), cap, scaling);
			if (leaves(split, need) && total(split) >= wanted
					&& (best.isEmpty() || price(split, scaling) < price(best, scaling))) {
				best = split;
			}
		}
		// The largest need that the bounds permit to serve without any data centre.
		return (best.isEmpty()) ? fill(cheapestFirst, Integer.MAX_VALUE, scaling.max(), scaling) : best;
	}

	private static Map<String, Integer> fill(List<String> dataCentres, int total, int cap, PoolScaling scaling) {
		Map<String, Integer> split = new TreeMap<>();
		int left = total - dataCentres.size() * scaling.min();
		for (String dataCentre : dataCentres) {
			int more = Math.max(0, Math.min(cap - scaling.min(), left));
			split.put(dataCentre, scaling.min() + more);
			left -= more;
		}
		return split;
	}

	private static boolean leaves(Map<String, Integer> split, int need) {
		int largest = split.values().stream().mapToInt(Integer::intValue).max().orElse(0);
		return total(split) - largest >= need;
	}

	private static int total(Map<String, Integer> split) {
		return split.values().stream().mapToInt(Integer::intValue).sum();
	}

	private static double price(Map<String, Integer> split, PoolScaling scaling) {
		return split.entrySet().stream().mapToDouble((entry) -> entry.getValue() * scaling.price(entry.getKey())).sum();
	}

	/**
	 * Split the endpoints while some data centres supply no more than serve there: the
	 * others hold the rest of the need with its reserve, and those are still asked for
	 * their part.
	 * @param need how many endpoints the demand needs
	 * @param reserve how many endpoints are ordered for each one that is needed
	 * @param scaling the bounds of each data centre and the prices
	 * @param dataCentres all data centres
	 * @param supplied the number of endpoints that serve in data centres that supply no
	 * more
	 * @return the number of endpoints by data centre
	 */
	static Map<String, Integer> of(int need, double reserve, PoolScaling scaling, Set<String> dataCentres,
			Map<String, Integer> supplied) {
		Map<String, Integer> split = new HashMap<>(of(need, reserve, scaling, dataCentres));
		List<String> others = dataCentres.stream()
			.filter((dataCentre) -> !supplied.containsKey(dataCentre))
			.sorted(Comparator.comparingDouble(scaling::price).thenComparing(Comparator.naturalOrder()))
			.toList();
		if (others.size() < dataCentres.size() && !others.isEmpty()) {
			int wanted = Math.max(0, (int) Math.ceil(need * reserve) - total(supplied));
			int cap = Math.max(scaling.min(), Math.min(scaling.max(), (wanted + others.size() - 1) / others.size()));
			fill(others, wanted, cap, scaling)
				.forEach((dataCentre, count) -> split.merge(dataCentre, count, Math::max));
		}
		return split;
	}

}
