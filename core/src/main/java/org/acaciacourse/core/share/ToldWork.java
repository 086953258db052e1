package org.acaciacourse.core.share;

import java.util.HashMap;
import java.util.Map;

/**
 * A sum of what several digests tell of the work of customers.
 * <p>
 * Not thread safe: a value of one computation.
 */
final class ToldWork {

	private final Map<Integer, Double> byKey = new HashMap<>();

	private int others;

	private double otherWork;

	void add(int key, double work) {
		this.byKey.merge(key, work, Double::sum);
	}

	void add(CustomerWorks works, double factor) {
		works.largest().forEach((work) -> add(work.key(), factor * work.work()));
		this.others += works.others();
		this.otherWork += factor * works.otherWork();
	}

	// A digest may have left out a key that the removed works have.
	void remove(CustomerWorks works, double factor) {
		works.largest()
			.forEach((work) -> this.byKey.computeIfPresent(work.key(),
					(key, sum) -> Math.max(0, sum - factor * work.work())));
		this.others = Math.max(0, this.others - works.others());
		this.otherWork = Math.max(0, this.otherWork - factor * works.otherWork());
	}

	Map<Integer, Double> byKey() {
		return this.byKey;
	}

	CustomerWorks largest(int max) {
		return CustomerWorks.of(this.byKey, max, this.others, this.otherWork);
	}

	/**
	 * Return the work of a pool's customers that is not told one by one. The digests
	 * don't tell the pool of it, so that it is divided like the rest.
	 * @param finished the key of the work that the pool has finished
	 * @return the work in tokens
	 */
	double otherWorkOf(int finished) {
		double all = 0;
		double own = 0;
		for (Map.Entry<Integer, Double> entry : this.byKey.entrySet()) {
			if (!CustomerKey.isFinished(entry.getKey())) {
				all += entry.getValue();
				own += (CustomerKey.isCustomerOf(finished, entry.getKey())) ? entry.getValue() : 0;
			}
		}
		return (all > 0) ? this.otherWork * own / all : 0;
	}

}
