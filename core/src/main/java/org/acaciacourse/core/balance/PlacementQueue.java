package org.acaciacourse.core.balance;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The requests of one pool that wait for an endpoint, the most urgent first and among
 * equals the one whose target passes first. Invariant: an item waits once.
 * <p>
 * Not thread safe: belongs to one event loop.
 *
 * @param <T> the type of the items
 */
public final class PlacementQueue<T> {

	private final TreeSet<Waiting<T>> order = new TreeSet<>(Comparator.<Waiting<T>>comparingInt(Waiting::urgency)
		.thenComparingLong(Waiting::dueAt)
		.thenComparingLong(Waiting::number));

	private final Map<T, Waiting<T>> waiting = new HashMap<>();

	private long number;

	/**
	 * Add an item, unless it waits already.
	 * @param item the item
	 * @param urgency its rank, 0 is the highest
	 * @param dueAt when its target passes
	 */
	public void add(T item, int urgency, long dueAt) {
		if (!this.waiting.containsKey(item)) {
			Waiting<T> next = new Waiting<>(item, urgency, dueAt, this.number++);
			this.waiting.put(item, next);
			this.order.add(next);
		}
	}

	/**
	 * Remove an item, if it waits.
	 * @param item the item
	 */
	public void remove(T item) {
		Waiting<T> gone = this.waiting.remove(item);
		if (gone != null) {
			this.order.remove(gone);
		}
	}

	/**
	 * Return the items in their order.
	 * @return a copy, so that items may be removed meanwhile
	 */
	public List<T> inOrder() {
		return this.order.stream().map(Waiting::item).toList();
	}

	/**
	 * Return how many items wait.
	 * @return the number
	 */
	public int size() {
		return this.waiting.size();
	}

	private record Waiting<T>(T item, int urgency, long dueAt, long number) {
	}

}
