package org.acaciacourse.daemon.control;

import java.util.function.Predicate;

/**
 * Holds the latest view of the replica and wakes the threads that wait for a change.
 * <p>
 * Thread safe.
 */
final class ReplicaViewMonitor {

	private ReplicaView latest;

	private long revision;

	private boolean closed;

	ReplicaViewMonitor(ReplicaView first) {
		this.latest = first;
	}

	synchronized ReplicaView latest() {
		return this.latest;
	}

	synchronized void publish(ReplicaView next) {
		this.latest = next;
		notifyAll();
	}

	/**
	 * Increment the revision and wake all waiting threads, after a change outside the
	 * replicated state.
	 */
	synchronized void signalChange() {
		this.revision++;
		notifyAll();
	}

	synchronized long revision() {
		return this.revision;
	}

	synchronized void close() {
		this.closed = true;
		notifyAll();
	}

	/**
	 * Wait until a condition holds.
	 * @param condition the condition, tested after each change
	 * @param millis the longest wait in milliseconds
	 * @return whether the condition holds
	 * @throws InterruptedException if the thread is interrupted
	 */
	synchronized boolean await(Predicate<ReplicaView> condition, long millis) throws InterruptedException {
		long deadline = System.nanoTime() + millis * 1_000_000;
		while (!condition.test(this.latest) && !this.closed) {
			long remaining = (deadline - System.nanoTime()) / 1_000_000;
			if (remaining <= 0) {
				return false;
			}
			wait(remaining);
		}
		return condition.test(this.latest);
	}

}
