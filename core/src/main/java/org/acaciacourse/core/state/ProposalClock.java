package org.acaciacourse.core.state;

/**
 * Yields {@link Command#proposedAt()} for a leader. Leases end by the state's time, so it
 * must not run ahead of real time: with plain wall clocks, a new leader whose clock is
 * ten seconds ahead would give a lease away while its holder still relies on it.
 * Therefore a leader goes on from the time that the state has, at the rate of its
 * monotonic clock. Time that passed without a leader is lost, which only makes leases
 * longer; the clock makes it up at one part in {@value #CATCH_UP_DIVISOR}, which holders
 * include in their drift bound, or at once when nobody holds a lease.
 * <p>
 * Invariants: what it yields never goes back; while a lease is held it grows by no more
 * than the time passed and the catch-up.
 * <p>
 * Not thread safe: belongs to one leader. A new one is made for each leadership, after
 * the leader has applied the first entry of its term.
 */
public final class ProposalClock {

	static final int CATCH_UP_DIVISOR = 100;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private long valueNanos;

	private long lastReadNanos;

	/**
	 * Start a clock.
	 * @param state the state, with all entries of earlier terms applied
	 * @param wallMillis this VM's wall clock, in milliseconds since the epoch
	 * @param nowNanos this VM's monotonic clock
	 */
	public ProposalClock(ControlState state, long wallMillis, long nowNanos) {
		long start = (state.isAnyLeaseHeld()) ? state.time() : Math.max(state.time(), wallMillis);
		this.valueNanos = NANOS_PER_MILLI * start;
		this.lastReadNanos = nowNanos;
	}

	/**
	 * Return the time for a command. A wall clock that is set forward is followed only at
	 * the rate of the catch-up.
	 * @param wallMillis this VM's wall clock
	 * @param nowNanos this VM's monotonic clock
	 * @return milliseconds since the epoch, nearly
	 */
	public long proposedAt(long wallMillis, long nowNanos) {
		long elapsed = Math.max(0, nowNanos - this.lastReadNanos);
		long behind = NANOS_PER_MILLI * wallMillis - this.valueNanos - elapsed;
		this.valueNanos += elapsed + Math.max(0, Math.min(elapsed / CATCH_UP_DIVISOR, behind));
		this.lastReadNanos = nowNanos;
		return this.valueNanos / NANOS_PER_MILLI;
	}

}
