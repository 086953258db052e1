package org.acaciacourse.core.route;

import java.time.Duration;
import java.util.Objects;

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
 */
public record PoolScaling(int min, int max, Duration boot, double reclaimablePrice) {

	public PoolScaling {
		Objects.requireNonNull(boot, "boot");
		if (min < 0 || min > max || !(reclaimablePrice >= 0)) {
			throw new IllegalArgumentException(
					"invalid bounds " + min + " to " + max + " or price " + reclaimablePrice);
		}
	}

}
