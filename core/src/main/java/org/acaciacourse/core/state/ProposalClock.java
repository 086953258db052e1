package org.acaciacourse.core.state;

/**
 * Provides {@link Command#proposedAt()} for a leader. Leases expire by the logical time
 * of the state machine, so that time must not run ahead of real time: with plain wall
 * clocks, a new leader whose clock is ten seconds ahead would grant a lease to another
 * process while its holder still relies on it. A leader therefore continues from the
 * logical time of the state, at the rate of its own monotonic clock. Time that passes
 * without a leader is not counted, which only makes leases longer. The clock catches up
 * with the wall clock by one part in {@value #CATCH_UP_DIVISOR}, which lease holders
 * include in their drift bound, or at once when no lease is held.
 * <p>
 * Invariants: the time never goes back; while a lease is held it advances by no more than
 * the elapsed time plus the catch-up.
 * <p>
 * Not thread safe: belongs to one leader. A new clock is created for each term, after the
 * leader has applied the first entry of that term.
 */
public final class ProposalClock {

	static final int CATCH_UP_DIVISOR = 100;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private long valueNanos;

	private long lastReadNanos;

	/**
	 * Create a clock.
	 * @param state the state, with all entries of earlier terms applied
	 * @param wallMillis this VM's wall clock, in milliseconds since the epoch
	 * @param nowNanos this VM's monotonic clock, in nanoseconds
	 */
	public ProposalClock(ControlState state, long wallMillis, long nowNanos) {
		long start = (state.isAnyLeaseHeld()) ? state.time() : Math.max(state.time(), wallMillis);
		this.valueNanos = NANOS_PER_MILLI * start;
		this.lastReadNanos = nowNanos;
	}

	/**
	 * Return the time for a new command. When the wall clock is set forward, the returned
	 * time follows it only at the catch-up rate.
	 * @param wallMillis this VM's wall clock, in milliseconds since the epoch
	 * @param nowNanos this VM's monotonic clock, in nanoseconds
	 * @return approximately the milliseconds since the epoch
	 */
	public long proposedAt(long wallMillis, long nowNanos) {
		long elapsed = Math.max(0, nowNanos - this.lastReadNanos);
		long behind = NANOS_PER_MILLI * wallMillis - this.valueNanos - elapsed;
		this.valueNanos += elapsed + Math.max(0, Math.min(elapsed / CATCH_UP_DIVISOR, behind));
		this.lastReadNanos = nowNanos;
		return this.valueNanos / NANOS_PER_MILLI;
	}

}
