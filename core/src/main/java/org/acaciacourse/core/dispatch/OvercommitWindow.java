package org.acaciacourse.core.dispatch;

/**
 * Limits how many requests of the high tier may be at engines beyond their slots at the
 * same time, where the engine preempts lower-tier work of other VMs for them. Reports do
 * not tell the tier of the work at an engine, so that the window is found by probing: it
 * grows while such requests start quickly and halves when one does not, because the
 * engine is full of high-tier work (additive increase, multiplicative decrease, Chiu and
 * Jain 1989). A window below 1 permits a single probe after a pause.
 * <p>
 * Invariant: the window is between {@link #MIN_WINDOW} and {@link #MAX_WINDOW}.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class OvercommitWindow {

	private static final double MIN_WINDOW = 0.0625;

	private static final double MAX_WINDOW = 32;

	private static final double INITIAL_WINDOW = 4;

	private static final double MAX_START_WAIT_SHARE = 0.3;

	private static final long PAUSE_NANOS = 150_000_000L;

	private double window = INITIAL_WINDOW;

	private int outstanding;

	private long sentAt = Long.MIN_VALUE / 2;

	private long pausedUntil = Long.MIN_VALUE;

	// Returns whether one more request may be sent beyond the slots, given the slots that
	// this VM expects to be held by lower tiers.
	boolean permits(double lowerTierSlots, long now) {
		double effectiveWindow = Math.min(this.window, lowerTierSlots);
		if (effectiveWindow >= 1) {
			return this.outstanding < (int) effectiveWindow;
		}
		boolean paused = now < this.pausedUntil || (now - this.sentAt) * effectiveWindow < PAUSE_NANOS;
		return this.outstanding == 0 && !paused;
	}

	void sent(long now) {
		this.outstanding++;
		this.sentAt = now;
	}

	// Records that an overcommitted request received its first token, or ended without
	// one.
	void started(long waitedNanos, long targetNanos, long now) {
		this.outstanding--;
		if (waitedNanos <= MAX_START_WAIT_SHARE * targetNanos) {
			this.window = Math.min(MAX_WINDOW, this.window + 1 / Math.max(1, this.window));
			return;
		}
		if (now >= this.pausedUntil) {
			this.window = Math.max(MIN_WINDOW, this.window / 2);
			this.pausedUntil = now + (long) (PAUSE_NANOS / Math.min(1, this.window));
		}
	}

}
