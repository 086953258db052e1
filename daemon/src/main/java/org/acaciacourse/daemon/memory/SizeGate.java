package org.acaciacourse.daemon.memory;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the memory of work by the size of its input. Work that does not fit beside what
 * is under way waits, and is admitted in the order in which it came. Work that is larger
 * than the gate is admitted alone.
 * <p>
 * Invariant: the admitted work has no more bytes together than the gate, or is one piece.
 * <p>
 * Thread safe.
 */
public final class SizeGate {

	/**
	 * The part of the heap that the input of the admitted work may have. As a document of
	 * sections and in its encodings, a configuration takes up to 16 times its size.
	 */
	private static final int HEAP_FRACTION = 64;

	private final int capacity;

	private final Semaphore room;

	/**
	 * Create a gate.
	 * @param capacity the bytes that are admitted together
	 */
	public SizeGate(int capacity) {
		this.capacity = capacity;
		this.room = new Semaphore(capacity, true);
	}

	/**
	 * Create a gate for the configurations that are under way in this process.
	 * @return a gate that fits the heap
	 */
	public static SizeGate ofHeap() {
		return new SizeGate((int) Math.min(Runtime.getRuntime().maxMemory() / HEAP_FRACTION, Integer.MAX_VALUE));
	}

	/**
	 * Wait until there is room.
	 * @param bytes the size of the input
	 * @param limit how long to wait
	 * @return the admission, which the caller closes after the work; empty if there was
	 * no room in time
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public Optional<Admission> enter(long bytes, Duration limit) throws InterruptedException {
		int taken = (int) Math.min(bytes, this.capacity);
		if (!this.room.tryAcquire(taken, limit.toNanos(), TimeUnit.NANOSECONDS)) {
			return Optional.empty();
		}
		return Optional.of(() -> this.room.release(taken));
	}

	/**
	 * Return how many wait for room.
	 * @return an estimate, as it changes at any time
	 */
	public int waiting() {
		return this.room.getQueueLength();
	}

	/** Work that is under way. */
	@FunctionalInterface
	public interface Admission extends AutoCloseable {

		/** Give the room to others. Called once. */
		@Override
		void close();

	}

}
