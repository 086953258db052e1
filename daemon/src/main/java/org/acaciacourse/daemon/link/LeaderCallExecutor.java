package org.acaciacourse.daemon.link;

import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.stream.IntStream;

import org.acaciacourse.daemon.process.EssentialThread;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs calls to the leader on a fixed number of threads with one bounded queue. Each
 * thread has its own connection, so that concurrent calls are committed in one batch.
 * <p>
 * Thread safe.
 */
final class LeaderCallExecutor implements AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(LeaderCallExecutor.class);

	private static final int QUEUE_CAPACITY = 4096;

	private final BlockingQueue<Task> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);

	private final List<Thread> threads;

	LeaderCallExecutor(String name, List<String> addresses, int threadCount) {
		this.threads = IntStream.range(0, threadCount).mapToObj((i) -> {
			Thread thread = new EssentialThread(() -> run(addresses), name + "-" + i);
			thread.start();
			return thread;
		}).toList();
	}

	/**
	 * Queue a task for one of the threads.
	 * @param task the task
	 * @return whether the queue had room for it
	 */
	boolean submit(Task task) {
		return this.queue.offer(task);
	}

	private void run(List<String> addresses) {
		try (LeaderClient client = new LeaderClient(addresses)) {
			while (!Thread.currentThread().isInterrupted()) {
				runOne(this.queue.take(), client);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void runOne(Task task, LeaderClient client) throws InterruptedException {
		try {
			task.run(client);
		}
		catch (RuntimeException ex) {
			LOGGER.error("call to the control leader failed with an unexpected exception", ex);
		}
	}

	@Override
	public void close() {
		this.threads.forEach(Thread::interrupt);
	}

	/** A task that calls the leader. */
	@FunctionalInterface
	interface Task {

		void run(LeaderClient client) throws InterruptedException;

	}

}
