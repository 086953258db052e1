package org.acaciacourse.core.route;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

/**
 * How many endpoints of a pool may be ordered, and what those cost that the platform may
 * take back.
 * <p>
 * Immutable and thread safe.
 *
 * @param min the lowest number in a data centre, of both kinds together
 * @param max the highest number in a data centre, of both kinds together
 * @param boot the time from an order until a new endpoint serves
 * @param reclaimablePrice the price of a reclaimable endpoint as a part of that of a
 * permanent one
 * @param prices the prices of an endpoint by data centre, relative to each other; a data
 * centre without one has the price 1
 */
public record PoolScaling(int min, int max, Duration boot, double reclaimablePrice, Map<String, Double> prices) {

	private static final double USUAL_PRICE = 1;

	public PoolScaling {
		Objects.requireNonNull(boot, "boot");
		if (min < 0 || min > max || !(reclaimablePrice >= 0)) {
			throw new IllegalArgumentException(
					"invalid bounds " + min + " to " + max + " or price " + reclaimablePrice);
		}
		// What is not a positive number counts as missing, as does what changes nothing.
		prices = prices.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() > 0 && Double.isFinite(entry.getValue())
					&& entry.getValue() != USUAL_PRICE)
			.collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
	}

	/**
	 * Create bounds for a pool whose endpoints have the same price in all data centres.
	 * @param min the lowest number in a data centre
	 * @param max the highest number in a data centre
	 * @param boot the time from an order until a new endpoint serves
	 * @param reclaimablePrice the price of a reclaimable endpoint as a part of that of a
	 * permanent one
	 */
	public PoolScaling(int min, int max, Duration boot, double reclaimablePrice) {
		this(min, max, boot, reclaimablePrice, Map.of());
	}

	/**
	 * Return the price of an endpoint in a data centre.
	 * @param dataCentre the data centre
	 * @return the price relative to that in the others
	 */
	public double price(String dataCentre) {
		return this.prices.getOrDefault(dataCentre, USUAL_PRICE);
	}

}
