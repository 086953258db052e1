package org.acaciacourse.daemon.cli;

import java.util.concurrent.CountDownLatch;

import org.acaciacourse.core.code.ResultCode;
import sun.misc.Signal;

/**
 * Waits for SIGTERM or SIGINT, so that a daemon can stop gracefully and exit with the
 * status of its result; a shutdown hook would end with the status of the signal. A second
 * signal ends the process at once.
 * <p>
 * Thread safe.
 */
public final class StopSignal {

	private final CountDownLatch asked = new CountDownLatch(1);

	/**
	 * Begin to catch the signals.
	 */
	public StopSignal() {
		Signal.handle(new Signal("TERM"), (signal) -> stop());
		Signal.handle(new Signal("INT"), (signal) -> stop());
	}

	private void stop() {
		if (this.asked.getCount() == 0) {
			System.err.println(ResultCode.DRAIN_LIMIT.number() + " stopped by a second signal");
			Runtime.getRuntime().halt(ResultCode.DRAIN_LIMIT.exitStatus());
		}
		this.asked.countDown();
	}

	/**
	 * Wait for the first signal.
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public void await() throws InterruptedException {
		this.asked.await();
	}

}
