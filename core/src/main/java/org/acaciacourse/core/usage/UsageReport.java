package org.acaciacourse.core.usage;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The requests of each customer that endpoints began in a window. The customers are
 * ordered, so that all VMs write a report in the same way.
 * <p>
 * Immutable and thread safe.
 *
 * @param window the number of the window
 * @param counts the number of requests by customer
 */
public record UsageReport(long window, SortedMap<String, Long> counts) {

	public UsageReport {
		counts = Collections.unmodifiableSortedMap(new TreeMap<>(counts));
	}

	/**
	 * Create a report.
	 * @param window the number of the window
	 * @param counts the number of requests by customer, in any order
	 */
	public UsageReport(long window, Map<String, Long> counts) {
		this(window, new TreeMap<>(counts));
	}

	/**
	 * Return the number of requests of all customers.
	 * @return the number of requests
	 */
	public long total() {
		return this.counts.values().stream().mapToLong(Long::longValue).sum();
	}

}
