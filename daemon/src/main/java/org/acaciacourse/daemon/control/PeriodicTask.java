package org.acaciacourse.daemon.control;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.daemon.process.EssentialThread;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A thread that runs a task periodically, with a fixed delay between runs. An exception
 * of one run is logged and does not prevent the next one.
 * <p>
 * Thread safe.
 */
final class PeriodicTask implements AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(PeriodicTask.class);

	private final CountDownLatch closed = new CountDownLatch(1);

	private final long delayMillis;

	private final Runnable task;

	PeriodicTask(String name, long delayMillis, Runnable task) {
		this.delayMillis = delayMillis;
		this.task = task;
		new EssentialThread(this::run, name).start();
	}

	private void run() {
		try {
			do {
				runOnce();
			}
			while (!this.closed.await(this.delayMillis, TimeUnit.MILLISECONDS));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void runOnce() {
		try {
			this.task.run();
		}
		catch (RuntimeException ex) {
			LOGGER.warn("periodic task failed", ex);
		}
	}

	@Override
	public void close() {
		this.closed.countDown();
	}

}
