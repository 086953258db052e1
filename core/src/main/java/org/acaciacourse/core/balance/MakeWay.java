package org.acaciacourse.core.balance;

import java.time.Duration;

/**
 * Decides whether a prompt with a long target makes way for those with a shorter one at
 * the same engines. Engines read prompts in about the order in which they come: in a
 * burst of long prompts the shorter targets pass while they wait behind them. Once the
 * engine that a long prompt would go to is behind by more than the shorter targets
 * permit, the prompt waits at the entry, and is refused if the engine is still behind
 * after a part of its target. It would be late itself; refused early, its caller can come
 * back when there is room.
 * <p>
 * Thread safe: it has no state.
 */
public final class MakeWay {

	/**
	 * The work that waits at an engine, in prompt tokens, when it is behind: what it
	 * reads in two seconds beside the answers that run. Targets that share engines with
	 * long ones are of the order of one second; a usual burst leaves half of this.
	 */
	private static final long BEHIND_WORK = 80_000;

	/**
	 * What an engine reads in a millisecond beside the answers that run; two thirds of
	 * what it reads alone.
	 */
	private static final long TOKENS_PER_MILLI = 40;

	/** The part of its target that a prompt waits at most; the rest is for reading it. */
	private static final double WAIT_SHARE = 0.4;

	private MakeWay() {
	}

	/**
	 * Decide on a prompt that shares its engines with shorter targets.
	 * @param ahead the work that waits at the engine that it would go to
	 * @param target its target
	 * @param waitedNanos how long it has waited
	 * @return what to do
	 */
	public static Verdict decide(long ahead, Duration target, long waitedNanos) {
		if (ahead <= BEHIND_WORK) {
			return Verdict.SEND;
		}
		return (waitedNanos < target.toNanos() * WAIT_SHARE) ? Verdict.WAIT : Verdict.REFUSE;
	}

	/**
	 * Return when the engine is not behind any more.
	 * @param ahead the work that waits there
	 * @return the time until then
	 */
	public static Duration untilRoom(long ahead) {
		return Duration.ofMillis(Math.max(0, ahead - BEHIND_WORK) / TOKENS_PER_MILLI);
	}

	/** What to do with a prompt. */
	public enum Verdict {

		/** Its engine is not behind. */
		SEND,

		/** It may be in time, if the engine catches up soon. */
		WAIT,

		/** It would be late. */
		REFUSE

	}

}
