package org.acaciacourse.core.balance;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalInt;

/**
 * How many entry VMs may be spending the shared retry budget. Control counts those that
 * poll, and right after a start or an election it has heard of a few only: a VM that took
 * the first count for the whole would spend the part of all others, and all VMs do so at
 * the same moment, when failures are many.
 * <p>
 * Invariants: the number is the highest of the last {@value #HOLD_SECONDS} s in which
 * control was heard; it is not known until control was heard for {@value #START_SECONDS}
 * s, nor after {@value #LEASE_SECONDS} s of silence. A VM that is cut off gives up its
 * part before the others divide it, as {@value #HOLD_SECONDS} s hold the lease and a
 * window of the budget.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class SharerCount {

	/** In this time a control VM that started hears of all entries. */
	private static final int START_SECONDS = 15;

	/** Control stops counting a VM that was silent for as long. */
	private static final int LEASE_SECONDS = 10;

	/** The lease, then a window of the budget, in which its last retries count. */
	private static final int HOLD_SECONDS = 25;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	/** The highest first, and of equal ones the last. */
	private final Deque<Observation> counts = new ArrayDeque<>();

	private long firstReceivedAt;

	private long lastReceivedAt;

	/**
	 * Take a count.
	 * @param count the entry VMs that control knows of
	 * @param now the time
	 */
	public void told(int count, long now) {
		if (this.counts.isEmpty()) {
			this.firstReceivedAt = now;
		}
		else if (isSilent(now)) {
			// A control VM that started meanwhile knows less than was known before.
			int before = this.counts.getFirst().count();
			this.counts.clear();
			this.counts.addLast(new Observation(now, before));
		}
		this.lastReceivedAt = now;
		while (!this.counts.isEmpty() && this.counts.getLast().count() <= count) {
			this.counts.removeLast();
		}
		this.counts.addLast(new Observation(now, count));
		while (now - this.counts.getFirst().at() > HOLD_SECONDS * NANOS_PER_SECOND) {
			this.counts.removeFirst();
		}
	}

	/**
	 * Return how many VMs share the budget.
	 * @param now the time
	 * @return the number, at least 1, or empty if it is not known
	 */
	public OptionalInt sharers(long now) {
		boolean known = !this.counts.isEmpty() && !isSilent(now)
				&& now - this.firstReceivedAt >= START_SECONDS * NANOS_PER_SECOND;
		return (known) ? OptionalInt.of(Math.max(1, highest())) : OptionalInt.empty();
	}

	/**
	 * Return the highest number that control told lately.
	 * @return the number, 0 before the first one
	 */
	public int highest() {
		return (this.counts.isEmpty()) ? 0 : this.counts.getFirst().count();
	}

	/**
	 * Return the number that control told last.
	 * @return the number, 0 before the first one
	 */
	public int latest() {
		return (this.counts.isEmpty()) ? 0 : this.counts.getLast().count();
	}

	private boolean isSilent(long now) {
		return now - this.lastReceivedAt > LEASE_SECONDS * NANOS_PER_SECOND;
	}

	/**
	 * What control told.
	 *
	 * @param at when
	 * @param count the number of entry VMs
	 */
	private record Observation(long at, int count) {
	}

}
