package org.acaciacourse.core.delivery;

import java.util.HashMap;
import java.util.Map;

import org.acaciacourse.core.code.RunState;

/**
 * What is known about whether one request was run, over all its attempts.
 * <p>
 * A caller that is told "not run" may repeat the request, so that the ledger says it only
 * if no attempt can have run: each one either handed no byte to a connection, or was
 * refused by the endpoint under the attempt's own id. Everything else is unknown or run.
 * What is known of an attempt only ever moves towards having run, but for a refusal,
 * which the endpoint itself vouches for.
 * <p>
 * Not thread safe: it belongs to the thread that owns the request.
 */
public final class RunLedger {

	private final Map<Long, Stage> attempts = new HashMap<>();

	/**
	 * An attempt begins; no byte of it has been handed to a connection.
	 * @param attemptId the attempt
	 */
	public void begin(long attemptId) {
		this.attempts.putIfAbsent(attemptId, Stage.NOT_SENT);
	}

	/**
	 * A byte of the request is about to be handed to a connection. Called before the
	 * write: after it, a crash between the write and the call would leave the ledger too
	 * hopeful.
	 * @param attemptId the attempt
	 */
	public void mayReach(long attemptId) {
		advance(attemptId, Stage.MAY_HAVE_RUN);
	}

	/**
	 * The endpoint said that it did not run the attempt.
	 * @param attemptId the attempt
	 * @param refusedAttemptId the id under which the endpoint said so
	 * @return whether the refusal counts: it must name this attempt, and no byte of an
	 * answer may have come before
	 */
	public boolean refused(long attemptId, long refusedAttemptId) {
		if (refusedAttemptId != attemptId || this.attempts.get(attemptId) == Stage.RAN) {
			return false;
		}
		this.attempts.put(attemptId, Stage.REFUSED);
		return true;
	}

	/**
	 * The endpoint ran the attempt, in part or whole: a byte of its answer came, or the
	 * endpoint said so.
	 * @param attemptId the attempt
	 */
	public void ran(long attemptId) {
		this.attempts.put(attemptId, Stage.RAN);
	}

	/**
	 * Return whether another attempt may be sent for a request that runs at most once.
	 * @return whether no attempt so far can have run
	 */
	public boolean mayRunAgain() {
		return state() == RunState.NOT_RUN;
	}

	/**
	 * Return what is known of the request as a whole.
	 * @return the state to tell the caller
	 */
	public RunState state() {
		return this.attempts.values().stream().map(Stage::state).reduce(RunState.NOT_RUN, RunState::and);
	}

	private void advance(long attemptId, Stage stage) {
		this.attempts.merge(attemptId, stage, (before, next) -> (before.compareTo(next) >= 0) ? before : next);
	}

	/** What is known of one attempt, in the order in which knowledge can grow. */
	private enum Stage {

		NOT_SENT(RunState.NOT_RUN),

		REFUSED(RunState.NOT_RUN),

		MAY_HAVE_RUN(RunState.UNKNOWN),

		RAN(RunState.RUN);

		private final RunState state;

		Stage(RunState state) {
			this.state = state;
		}

		private RunState state() {
			return this.state;
		}

	}

}
