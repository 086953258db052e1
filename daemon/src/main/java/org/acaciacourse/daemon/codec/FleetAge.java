package org.acaciacourse.daemon.codec;

import java.util.concurrent.TimeUnit;

/**
 * Tells another VM, whose clock differs, when the platform's list of endpoints was read.
 * The VM that is asked states how long before it received the question the read began;
 * the one that asked counts back from when it sent the question. So a delay on the way
 * makes a list look older than it is and never newer.
 */
public final class FleetAge {

	private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private FleetAge() {
	}

	/**
	 * Return the age to state.
	 * @param readAt when the read began
	 * @param receivedAt when the question was received
	 * @return the age in milliseconds, rounded up; negative if the read began later
	 */
	public static long millis(long readAt, long receivedAt) {
		return -Math.floorDiv(readAt - receivedAt, NANOS_PER_MILLI);
	}

	/**
	 * Return when the read began.
	 * @param millis the age that was stated
	 * @param askedAt when the question was sent
	 * @return the time, or an earlier one
	 */
	public static long readAt(long millis, long askedAt) {
		return askedAt - millis * NANOS_PER_MILLI;
	}

}
