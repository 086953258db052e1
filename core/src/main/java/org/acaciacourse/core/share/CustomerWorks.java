package org.acaciacourse.core.share;

import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * The recent work of customers as one digest tells it: the largest figures, and the sum
 * of the rest. What is left out is small and counts as within its share.
 * <p>
 * Immutable and thread safe.
 *
 * @param largest the largest works
 * @param others the number of works that are left out
 * @param otherWork their sum in tokens
 */
public record CustomerWorks(List<CustomerWork> largest, int others, long otherWork) {

	/** The works in one datagram, which together with the rest fit into a packet. */
	public static final int MAX_IN_PART = 24;

	/** No work is known. */
	public static final CustomerWorks NONE = new CustomerWorks(List.of(), 0, 0);

	public CustomerWorks {
		largest = List.copyOf(largest);
		if (others < 0 || otherWork < 0) {
			throw new IllegalArgumentException("negative rest of customers: " + others + ", " + otherWork);
		}
	}

	/**
	 * Select the largest works.
	 * @param works the works by key
	 * @param max how many are told one by one
	 * @param others the number of works that others have already left out
	 * @param otherWork the sum of these
	 * @return the works to tell
	 */
	static CustomerWorks of(Map<Integer, Double> works, int max, int others, double otherWork) {
		List<CustomerWork> sorted = works.entrySet()
			.stream()
			.map((entry) -> new CustomerWork(entry.getKey(), Math.round(entry.getValue())))
			.filter((work) -> work.work() > 0)
			.sorted(Comparator.comparingLong(CustomerWork::work).reversed().thenComparingInt(CustomerWork::key))
			.toList();
		List<CustomerWork> largest = sorted.subList(0, Math.min(max, sorted.size()));
		List<CustomerWork> rest = sorted.subList(largest.size(), sorted.size());
		return new CustomerWorks(largest, others + rest.size(),
				Math.round(otherWork) + rest.stream().mapToLong(CustomerWork::work).sum());
	}

	/**
	 * Return how many datagrams the works need.
	 * @return the number
	 */
	public int parts() {
		return (this.largest.size() + MAX_IN_PART - 1) / MAX_IN_PART;
	}

	/**
	 * Return the works of one datagram; the rest is told in the first.
	 * @param index its index
	 * @return the works
	 */
	public CustomerWorks part(int index) {
		int from = Math.min(this.largest.size(), index * MAX_IN_PART);
		int to = Math.min(this.largest.size(), from + MAX_IN_PART);
		return new CustomerWorks(this.largest.subList(from, to), (index == 0) ? this.others : 0,
				(index == 0) ? this.otherWork : 0);
	}

}
