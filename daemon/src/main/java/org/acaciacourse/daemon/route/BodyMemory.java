package org.acaciacourse.daemon.route;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.acaciacourse.core.memory.MemoryBudget;
import org.acaciacourse.core.memory.MemoryUse;

/**
 * Bounds the memory of all response bodies that are buffered until they are complete. If
 * they exceed it, the largest one is discarded: a body without end must neither fill the
 * memory of the VM nor take it from the others. The same holds if the memory budget of
 * the VM is used up, but for small bodies, which others may have left no room for.
 * <p>
 * Invariant: after each call the bodies take no more than the limit, and those that are
 * not small no more than the budget has for them.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class BodyMemory {

	/**
	 * The part of the heap that the bodies may take. While it grows, a buffer takes three
	 * times its content, and the whole body is copied once.
	 */
	private static final int HEAP_FRACTION = 8;

	/**
	 * What a byte of a body takes of the budget, as a buffer that grows takes three times
	 * its content.
	 */
	private static final int BUDGET_FACTOR = 3;

	/** Bodies up to this size are not discarded for the sake of the budget. */
	private static final int SMALL_BYTES = 16 * 1024;

	private final long limit;

	private final Optional<MemoryBudget> budget;

	private final Set<Body> bodies = new HashSet<>();

	private long used;

	/**
	 * Create the bound.
	 * @param limit the bytes of all bodies
	 */
	BodyMemory(long limit) {
		this(limit, Optional.empty());
	}

	/**
	 * Create the bound.
	 * @param limit the bytes of all bodies
	 * @param budget the budget that they draw on, if there is one
	 */
	BodyMemory(long limit, Optional<MemoryBudget> budget) {
		this.limit = limit;
		this.budget = budget;
	}

	static BodyMemory ofHeap(Optional<MemoryBudget> budget) {
		return new BodyMemory(Runtime.getRuntime().maxMemory() / HEAP_FRACTION, budget);
	}

	/**
	 * Add bytes to a body.
	 * @param body the body
	 * @param bytes their number
	 */
	void add(Body body, int bytes) {
		this.bodies.add(body);
		body.size += bytes;
		take(bytes);
		for (Optional<Body> next = nextToDiscard(); next.isPresent(); next = nextToDiscard()) {
			release(next.get());
			next.get().onDiscarded.run();
		}
	}

	private void take(long bytes) {
		this.used += bytes;
		this.budget.ifPresent((shared) -> shared.change(MemoryUse.BUFFERED_RESPONSES, BUDGET_FACTOR * bytes));
	}

	private Optional<Body> nextToDiscard() {
		boolean budgetExceeded = this.budget.filter((shared) -> shared.room(MemoryUse.BUFFERED_RESPONSES) < 0)
			.isPresent();
		if (this.used <= this.limit && !budgetExceeded) {
			return Optional.empty();
		}
		return this.bodies.stream()
			.max(Comparator.comparingLong((one) -> one.size))
			.filter((largest) -> this.used > this.limit || largest.size > SMALL_BYTES);
	}

	/**
	 * Release a body that is complete or not needed any longer.
	 * @param body the body
	 */
	void release(Body body) {
		if (this.bodies.remove(body)) {
			take(-body.size);
		}
	}

	/** A body that is being received. */
	static final class Body {

		private final Runnable onDiscarded;

		private long size;

		/**
		 * Create an empty body.
		 * @param onDiscarded called if it is discarded
		 */
		Body(Runnable onDiscarded) {
			this.onDiscarded = onDiscarded;
		}

	}

}
