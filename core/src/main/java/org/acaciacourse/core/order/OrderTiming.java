package org.acaciacourse.core.order;

import java.time.Duration;

/**
 * The timing of an {@link OrderWriter}.
 * <p>
 * Immutable and thread safe.
 *
 * @param orderTimeoutNanos the longest time that an order can be in flight: the sender
 * then closes the connection, and an engine does not carry out an order that it has not
 * received completely
 * @param rereadNanos the interval between reads of an engine that is in the desired state
 * or that has seen a higher fencing number
 * @param unloadDelayNanos how long a model that is no longer desired stays loaded after
 * the change: within seconds entry VMs stop sending requests to it, and running requests
 * can finish
 */
public record OrderTiming(long orderTimeoutNanos, long rereadNanos, long unloadDelayNanos) {

	public OrderTiming {
		if (orderTimeoutNanos <= 0 || rereadNanos <= 0 || unloadDelayNanos < 0) {
			throw new IllegalArgumentException(
					"order timeout and reread interval must be positive, unload delay must not be negative");
		}
	}

	/**
	 * Return the timing for engines that accept an order within a few seconds.
	 * @return the default timing
	 */
	public static OrderTiming defaults() {
		return new OrderTiming(Duration.ofSeconds(10).toNanos(), Duration.ofSeconds(30).toNanos(),
				Duration.ofMinutes(2).toNanos());
	}

}
