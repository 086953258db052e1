package org.acaciacourse.daemon.cli;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Waits during a graceful stop.
 * <p>
 * Thread safe: it has no state.
 */
public final class StopWait {

	private static final long POLL_MILLIS = 20;

	private StopWait() {
	}

	/**
	 * Wait for a condition.
	 * @param cancelled whether to wait no longer
	 * @param limit the longest time
	 * @param condition what is waited for
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
