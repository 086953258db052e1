package org.acaciacourse.core.dispatch;

/**
 * How many high requests may be at engines beyond the slots at the same time, for the
 * engine to set lower work of other VMs aside. No report tells of which tier the work at
 * an engine is, so that the window is found by trial: it grows while such requests start
 * soon and halves when one does not, because the engine is full of high work (additive
 * increase, multiplicative decrease, Chiu and Jain 1989). Below one, a single request
 * tries it again after a pause.
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

	// Return whether one more may be sent, of what this VM expects to find as lower work.
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

	// Note that a request beyond the slots began to answer, or ended without.
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
