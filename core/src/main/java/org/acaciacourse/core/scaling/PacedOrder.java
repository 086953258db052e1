package org.acaciacourse.core.scaling;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The number of endpoints that is ordered in one data centre, which follows what is
 * wanted: up at once, down slowly.
 * <p>
 * Invariants: at most {@value #MAX_CHANGES} changes within {@link #WINDOW_NANOS}, of
 * which a decrease is the first, unless all orders together are below the need; a
 * decrease is by at most a tenth, or by one.
 * <p>
 * Not thread safe.
 */
final class PacedOrder {

	/** Longer than a wave of demand: a change within it would come back. */
	static final long WINDOW_NANOS = Duration.ofSeconds(15).toNanos();

	static final int MAX_CHANGES = 2;

	/**
	 * Entry VMs tell their demand once a second, and not at the same time: the first
	 * increase may be based on a part of them.
	 */
	private static final long SETTLE_NANOS = Duration.ofSeconds(2).toNanos();

	private final Deque<Long> changes = new ArrayDeque<>();

	private int count;

	PacedOrder(int count) {
		this.count = count;
	}

	/**
	 * Another control VM may have ordered since: begin with no less than what serves.
	 * @param serving the number of endpoints
	 */
	void adopt(int serving) {
		this.count = Math.max(this.count, serving);
	}

	int count() {
		return this.count;
	}

	/**
	 * Follow what is wanted.
	 * @param wanted the number of endpoints
	 * @param mayLower whether the number may fall
	 * @param lacking whether less is ordered than the need, so that the number may rise
	 * however often it has changed
	 * @param now the monotonic time in nanoseconds
	 * @return whether the number changed
	 */
	boolean follow(int wanted, boolean mayLower, boolean lacking, long now) {
		while (!this.changes.isEmpty() && now - this.changes.getFirst() >= WINDOW_NANOS) {
			this.changes.removeFirst();
		}
		if (wanted > this.count && (lacking || mayRaise(now))) {
			change(wanted, now);
			return true;
		}
		if (wanted < this.count && mayLower && this.changes.isEmpty()) {
			int lowest = Math.min(this.count - 1, (int) Math.ceil(this.count * CapacityTarget.NOTABLE_FALL));
			change(Math.max(wanted, lowest), now);
			return true;
		}
		return false;
	}

	private boolean mayRaise(long now) {
		return this.changes.isEmpty()
				|| (this.changes.size() < MAX_CHANGES && now - this.changes.getLast() >= SETTLE_NANOS);
	}

	private void change(int next, long now) {
		this.count = next;
		this.changes.addLast(now);
	}

}
