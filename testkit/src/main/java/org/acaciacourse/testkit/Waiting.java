package org.acaciacourse.testkit;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Waits on conditions with a generous bound. The bound only ends a test that hangs; no
 * verdict depends on how fast the machine is.
 * <p>
 * Thread safe: it has no state.
 */
public final class Waiting {

	/** After this time a test counts as hanging. */
	public static final Duration BOUND = Duration.ofSeconds(60);

	private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private Waiting() {
	}

	/**
	 * Wait until something is so.
	 * @param what what is waited for
	 * @param condition whether it is so; a condition that throws does not hold
	 */
	public static void until(String what, Callable<Boolean> condition) {
		long end = System.nanoTime() + BOUND.toNanos();
		while (!holds(condition)) {
			if (System.nanoTime() > end) {
				throw new AssertionError("not within " + BOUND + ": " + what);
			}
			LockSupport.parkNanos(POLL_NANOS);
		}
	}

	private static boolean holds(Callable<Boolean> condition) {
		try {
			return condition.call();
		}
		catch (Exception ex) {
			return false;
		}
	}

}
