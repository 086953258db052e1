package org.acaciacourse.daemon.route;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

/**
 * Bounds the memory of all response bodies that are buffered until they are complete. If
 * they exceed it, the largest one is discarded: a body without end must neither fill the
 * memory of the VM nor take it from the others.
 * <p>
 * Invariant: after each call the bodies take no more than the limit.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class BodyMemory {

	/**
	 * The part of the heap that the bodies may take. While it grows, a buffer takes three
	 * times its content, and the whole body is copied once.
	 */
	private static final int HEAP_FRACTION = 8;

	private final long limit;

	private final Set<Body> bodies = new HashSet<>();

	private long used;

	/**
	 * Create the bound.
	 * @param limit the bytes of all bodies
	 */
	BodyMemory(long limit) {
		this.limit = limit;
	}

	static BodyMemory ofHeap() {
		return new BodyMemory(Runtime.getRuntime().maxMemory() / HEAP_FRACTION);
	}

	/**
	 * Add bytes to a body.
	 * @param body the body
	 * @param bytes their number
	 */
	void add(Body body, int bytes) {
		this.bodies.add(body);
		body.size += bytes;
		this.used += bytes;
		while (this.used > this.limit) {
			Body largest = this.bodies.stream().max(Comparator.comparingLong((one) -> one.size)).orElseThrow();
			release(largest);
			largest.onDiscarded.run();
		}
	}

	/**
	 * Release a body that is complete or not needed any longer.
	 * @param body the body
	 */
	void release(Body body) {
		if (this.bodies.remove(body)) {
			this.used -= body.size;
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
