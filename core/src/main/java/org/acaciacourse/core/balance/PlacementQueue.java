package org.acaciacourse.core.balance;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The requests of one pool that wait for an endpoint, ordered by urgency, then those over
 * their customer's share behind the others, and then by the time of their target.
 * Invariant: an item is queued at most once.
 * <p>
 * Not thread safe: belongs to one event loop.
 *
 * @param <T> the type of the items
 */
public final class PlacementQueue<T> {

	private final TreeSet<Waiting<T>> order = new TreeSet<>(Comparator.<Waiting<T>>comparingInt(Waiting::urgency)
		.thenComparing(Waiting::overShare)
		.thenComparingLong(Waiting::dueAt)
		.thenComparingLong(Waiting::number));

	private final Map<T, Waiting<T>> waiting = new HashMap<>();

	private long number;

	/**
	 * Add an item, unless it is queued already.
	 * @param item the item
	 * @param urgency its rank, 0 is the highest
	 * @param overShare whether it goes behind the other items of the same rank
	 * @param dueAt the time of its target
	 */
	public void add(T item, int urgency, boolean overShare, long dueAt) {
		if (!this.waiting.containsKey(item)) {
			Waiting<T> next = new Waiting<>(item, urgency, overShare, dueAt, this.number++);
			this.waiting.put(item, next);
			this.order.add(next);
		}
	}

	/**
	 * Add an item that is not over share, unless it is queued already.
	 * @param item the item
	 * @param urgency its rank, 0 is the highest
	 * @param dueAt the time of its target
	 */
	public void add(T item, int urgency, long dueAt) {
		add(item, urgency, false, dueAt);
	}

	/**
	 * Remove an item, if it is queued.
	 * @param item the item
	 */
	public void remove(T item) {
		Waiting<T> gone = this.waiting.remove(item);
		if (gone != null) {
			this.order.remove(gone);
		}
	}

	/**
	 * Return the items in order.
	 * @return a copy, so that items may be removed during iteration
	 */
	public List<T> inOrder() {
		return this.order.stream().map(Waiting::item).toList();
	}

	/**
	 * Return the number of queued items.
	 * @return the number
	 */
	public int size() {
		return this.waiting.size();
	}

	private record Waiting<T>(T item, int urgency, boolean overShare, long dueAt, long number) {
	}

}
