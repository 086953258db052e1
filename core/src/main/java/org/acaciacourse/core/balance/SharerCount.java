package org.acaciacourse.core.balance;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalInt;

/**
 * The number of entry VMs that may be spending the shared retry budget. The control VM
 * counts those that poll it, and right after a start or an election it has heard from
 * only a few. A VM that trusted the first count would spend the shares of all others, and
 * all VMs would do so at the same moment, when there are many failures.
 * <p>
 * Invariants: the number is the highest of the last {@value #HOLD_SECONDS} s in which
 * control was reachable; it is unknown until control was reachable for
 * {@value #START_SECONDS} s without an interruption, and after {@value #LEASE_SECONDS} s
 * without contact. A VM that is disconnected gives up its share before the others divide
 * it, as {@value #HOLD_SECONDS} s cover the lease and a window of the budget. A VM that
 * is back takes its share only after the others have counted it for a window.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class SharerCount {

	/**
	 * Within this time a newly started control VM hears from all entry VMs, and these
	 * count a VM that is back for a window of the budget.
	 */
	private static final int START_SECONDS = 15;

	/** After this time without a poll, control no longer counts a VM. */
	private static final int LEASE_SECONDS = 10;

	/** The lease plus a window of the budget, in which the VM's last retries count. */
	private static final int HOLD_SECONDS = 25;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	/** In descending order of count; of equal counts only the latest is kept. */
	private final Deque<Observation> counts = new ArrayDeque<>();

	private long reachableSince;

	private long lastReceivedAt;

	/** Whether this VM was suspended for longer than the lease since the last count. */
	private boolean expired;

	/**
	 * Record a count from control.
	 * @param count the number of entry VMs that control knows of
	 * @param now the time
	 */
	public void update(int count, long now) {
		if (this.counts.isEmpty()) {
			this.reachableSince = now;
		}
		else if (isSilent(now)) {
			this.reachableSince = now;
			// A control VM that started in the meantime knows of fewer VMs than before.
			int before = this.counts.getFirst().count();
			this.counts.clear();
			this.counts.addLast(new Observation(now, before));
		}
		this.lastReceivedAt = now;
		this.expired = false;
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
	 * @return the number, at least 1, or empty if unknown
	 */
	public OptionalInt sharers(long now) {
		boolean known = !this.counts.isEmpty() && !isSilent(now)
				&& now - this.reachableSince >= START_SECONDS * NANOS_PER_SECOND;
		return (known) ? OptionalInt.of(Math.max(1, highest())) : OptionalInt.empty();
	}

	/**
	 * Return the highest recent count from control.
	 * @return the number, 0 before the first one
	 */
	public int highest() {
		return (this.counts.isEmpty()) ? 0 : this.counts.getFirst().count();
	}

	/**
	 * Return the latest count from control.
	 * @return the number, 0 before the first one
	 */
	public int latest() {
		return (this.counts.isEmpty()) ? 0 : this.counts.getLast().count();
	}

	/**
	 * Record that this VM did not run for a while, which the clock of the other calls may
	 * not have counted.
	 * @param seconds for how long
	 */
	public void stalled(long seconds) {
		this.expired |= seconds > LEASE_SECONDS;
	}

	private boolean isSilent(long now) {
		return this.expired || now - this.lastReceivedAt > LEASE_SECONDS * NANOS_PER_SECOND;
	}

	/**
	 * A count from control.
	 *
	 * @param at when it arrived
	 * @param count the number of entry VMs
	 */
	private record Observation(long at, int count) {
	}

}
