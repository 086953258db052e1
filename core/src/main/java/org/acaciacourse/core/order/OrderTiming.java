package org.acaciacourse.core.order;

import java.time.Duration;

/**
 * Times of the writer of orders.
 * <p>
 * Immutable and thread safe.
 *
 * @param orderTimeoutNanos the longest time that an order can be under way: its sender
 * closes the connection then, and an engine does not carry out what it has not wholly
 * received
 * @param rereadNanos the time between two looks at an engine that is as it should be, and
 * after a failure
 * @param unloadDelayNanos how long after a change a model that is not wanted any more
 * stays loaded: entry VMs stop sending to it within seconds, and it finishes what runs
 */
public record OrderTiming(long orderTimeoutNanos, long rereadNanos, long unloadDelayNanos) {

	public OrderTiming {
		if (orderTimeoutNanos <= 0 || rereadNanos <= 0 || unloadDelayNanos < 0) {
			throw new IllegalArgumentException("times must be positive");
		}
	}

	/**
	 * Return times for engines that take an order within some seconds.
	 * @return the defaults
	 */
	public static OrderTiming defaults() {
		return new OrderTiming(Duration.ofSeconds(10).toNanos(), Duration.ofSeconds(30).toNanos(),
				Duration.ofMinutes(2).toNanos());
	}

}
