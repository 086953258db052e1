package org.acaciacourse.core.order;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * What the writer knows of one engine in one tenure of its lease. Invariant: at most one
 * read or order is outstanding, so that orders cannot overtake each other.
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
	 * Note that the manifest wants something else of this engine. Changes that concern
	 * other engines do not count: with one every few seconds, a delay that each of them
	 * restarts would never pass.
	 * @param now the time
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
	 * Forget what is known of the engine.
	 * @param time when to look at it
	 */
	void resetAndReadAt(long time) {
		this.state = Optional.empty();
		this.outstanding = false;
		this.converged = false;
		this.notBefore = time;
	}

	/**
	 * Note that the engine is as it should be.
	 * @param next when to look again
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
	 * Note what an order did. After the order that carried a new fencing number the
	 * engine is read again: an order of the last writer may have come between the first
	 * read and it, and none can come any more.
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
