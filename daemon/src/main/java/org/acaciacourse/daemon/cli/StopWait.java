package org.acaciacourse.daemon.cli;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Waits for conditions during a graceful shutdown.
 * <p>
 * Thread safe: it has no state.
 */
public final class StopWait {

	private static final long POLL_MILLIS = 20;

	private StopWait() {
	}

	/**
	 * Wait for a condition.
	 * @param cancelled returns whether to stop waiting
	 * @param limit the maximum time to wait
	 * @param condition the condition to wait for
	 * @return whether the condition holds
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static boolean until(BooleanSupplier cancelled, Duration limit, BooleanSupplier condition)
			throws InterruptedException {
		long end = System.nanoTime() + limit.toNanos();
		while (!condition.getAsBoolean()) {
			if (cancelled.getAsBoolean() || System.nanoTime() - end >= 0) {
				return false;
			}
			TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
		}
		return true;
	}

}
