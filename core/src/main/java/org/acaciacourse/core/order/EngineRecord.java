package org.acaciacourse.core.order;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The state that the writer keeps of one engine for as long as it holds its lease.
 * Invariant: at most one read or order is outstanding, so that orders are never
 * reordered.
 * <p>
 * Not thread safe: belongs to one {@link OrderWriter}.
 */
final class EngineRecord {

	private Optional<EngineState> state = Optional.empty();

	private boolean outstanding;

	private boolean converged;

	private long notBefore;

	private long desiredSince;

	EngineRecord(long now) {
		this.desiredSince = now;
	}

	/**
	 * Record a change of the desired state of this engine, which restarts the unload
	 * delay. Changes to other engines must not restart it: with one every few seconds,
	 * the delay would never elapse.
	 * @param now the current time
	 */
	void desiredStateChanged(long now) {
		this.desiredSince = now;
		if (this.converged) {
			resetAndReadAt(now);
		}
	}

	long desiredSince() {
		return this.desiredSince;
	}

	/**
	 * Discard the known state and read the engine again later.
	 * @param time the earliest time of the read
	 */
	void resetAndReadAt(long time) {
		this.state = Optional.empty();
		this.outstanding = false;
		this.converged = false;
		this.notBefore = time;
	}

	/**
	 * Record that the engine needs no order now.
	 * @param next the time of the next read
	 */
	void markConverged(long next) {
		resetAndReadAt(next);
		this.converged = true;
	}

	boolean isConverged() {
		return this.converged;
	}

	boolean isDue(long now) {
		return !this.outstanding && now >= this.notBefore;
	}

	Optional<EngineState> state() {
		return this.state;
	}

	void requestStarted() {
		this.outstanding = true;
	}

	void stateRead(EngineState next) {
		this.outstanding = false;
		this.converged = false;
		this.state = Optional.of(next);
	}

	/**
	 * Apply a completed order to the known state. After the role order, which conveys a
	 * new fencing number, the engine is read again: an order of the previous writer may
	 * have been carried out between the first read and the role order, and none can be
	 * after it.
	 * @param order the order
	 */
	void orderCompleted(EngineOrder order) {
		this.outstanding = false;
		this.state = this.state.filter((old) -> order.kind() != EngineOrder.Kind.ROLE)
			.map((old) -> applyOrder(old, order));
	}

	private static EngineState applyOrder(EngineState old, EngineOrder order) {
		Set<String> loaded = new TreeSet<>(old.loaded());
		if (order.kind() == EngineOrder.Kind.LOAD) {
			loaded.add(order.subject());
		}
		else {
			loaded.remove(order.subject());
		}
		return new EngineState(Math.max(old.fencingNumber(), order.fencingNumber()), loaded, old.role());
	}

}
