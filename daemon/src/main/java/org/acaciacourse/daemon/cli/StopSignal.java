package org.acaciacourse.daemon.cli;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import org.acaciacourse.core.code.ResultCode;
import sun.misc.Signal;

/**
 * Waits for SIGTERM or SIGINT, so that a daemon can stop gracefully and exit with the
 * status of its result; with a shutdown hook it would exit with the status of the signal.
 * A second signal asks the daemon to abort the open requests, a third ends the process
 * immediately in case the daemon hangs.
 * <p>
 * Thread safe.
 */
public final class StopSignal {

	private static final int HALT_SIGNAL_COUNT = 3;

	private final CountDownLatch stopRequested = new CountDownLatch(1);

	private final AtomicInteger count = new AtomicInteger();

	/**
	 * Install the signal handlers.
	 */
	public StopSignal() {
		Signal.handle(new Signal("TERM"), (signal) -> stop());
		Signal.handle(new Signal("INT"), (signal) -> stop());
	}

	private void stop() {
		if (this.count.incrementAndGet() >= HALT_SIGNAL_COUNT) {
			System.err.println(ResultCode.DRAIN_LIMIT.number() + " stopped by a third signal");
			Runtime.getRuntime().halt(ResultCode.DRAIN_LIMIT.exitStatus());
		}
		this.stopRequested.countDown();
	}

	/**
	 * Wait for the first signal.
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public void await() throws InterruptedException {
		this.stopRequested.await();
	}

	/**
	 * Return whether a second signal was received.
	 * @return whether to abort what is still open
	 */
	public boolean isForced() {
		return this.count.get() > 1;
	}

}
