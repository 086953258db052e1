package org.acaciacourse.core.balance;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Items that wait to be sent, each in several consecutive digests because datagrams may
 * be lost. Invariant: at most as many are pending as the limit says; others are dropped.
 * <p>
 * Not thread safe: belongs to one {@link LoadExchange}.
 *
 * @param <T> the type of the items
 */
final class Announcements<T> {

	private final int repeats;

	private final int maxPending;

	private final Set<T> pending = new LinkedHashSet<>();

	/** What the latest digests were the first to have, the latest one first. */
	private final Deque<List<T>> sent = new ArrayDeque<>();

	/**
	 * Create announcements.
	 * @param digests in how many digests each item is sent
	 * @param maxPending how many items may wait for the next digest
	 */
	Announcements(int digests, int maxPending) {
		this.repeats = digests - 1;
		this.maxPending = maxPending;
	}

	void add(Collection<T> items) {
		items.stream().limit(Math.max(0, this.maxPending - this.pending.size())).forEach(this.pending::add);
	}

	/**
	 * Return whether a digest is due whatever the loads are.
	 * @return whether any item was not sent in all its digests
	 */
	boolean isAnyLeft() {
		return !this.pending.isEmpty() || this.sent.stream().anyMatch((items) -> !items.isEmpty());
	}

	/**
	 * Return the items for a digest that is sent now.
	 * @return the new ones and those that the previous digests were the first to have
	 */
	List<T> forNextDigest() {
		Set<T> all = new LinkedHashSet<>(this.pending);
		this.sent.forEach(all::addAll);
		this.sent.addFirst(List.copyOf(this.pending));
		if (this.sent.size() > this.repeats) {
			this.sent.removeLast();
		}
		this.pending.clear();
		return List.copyOf(all);
	}

}
