package org.acaciacourse.core.delivery;

import java.util.HashMap;
import java.util.Map;

import org.acaciacourse.core.code.RunState;

/**
 * Tracks over all attempts of a request whether the request was run.
 * <p>
 * A caller that receives "not run" may repeat the request, so that state is reported only
 * if no attempt can have run: each attempt either wrote no byte to a connection or was
 * refused by the endpoint under the id of that attempt. In all other cases the state is
 * "unknown" or "run". The state of an attempt only moves towards "run", except for a
 * refusal, which the endpoint itself guarantees.
 * <p>
 * Not thread safe: belongs to the thread that owns the request.
 */
public final class RunStateTracker {

	private final Map<Long, Stage> attempts = new HashMap<>();

	/**
	 * Record the start of an attempt, before any byte is written to a connection.
	 * @param attemptId the id of the attempt
	 */
	public void attemptStarted(long attemptId) {
		this.attempts.putIfAbsent(attemptId, Stage.NOT_SENT);
	}

	/**
	 * Record that the request is about to be written to a connection. Must be called
	 * before the write: otherwise a failure between the write and this call would leave
	 * the state at "not run".
	 * @param attemptId the id of the attempt
	 */
	public void beforeSend(long attemptId) {
		advance(attemptId, Stage.MAY_HAVE_RUN);
	}

	/**
	 * Record a report of the endpoint that it did not run the attempt.
	 * @param attemptId the id of the attempt
	 * @param refusedAttemptId the attempt id in the report of the endpoint
	 * @return whether the refusal is accepted: it must name this attempt, and no byte of
	 * a response may have been received before
	 */
	public boolean refused(long attemptId, long refusedAttemptId) {
		if (refusedAttemptId != attemptId || this.attempts.get(attemptId) == Stage.RAN) {
			return false;
		}
		this.attempts.put(attemptId, Stage.REFUSED);
		return true;
	}

	/**
	 * Record that the endpoint ran the attempt, in part or completely: a byte of its
	 * response was received, or the endpoint reported it.
	 * @param attemptId the id of the attempt
	 */
	public void ran(long attemptId) {
		this.attempts.put(attemptId, Stage.RAN);
	}

	/**
	 * Return whether a request that must run at most once may be sent again.
	 * @return whether no attempt so far can have run
	 */
	public boolean mayRetry() {
		return state() == RunState.NOT_RUN;
	}

	/**
	 * Return the state of the request over all its attempts.
	 * @return the state to report to the caller
	 */
	public RunState state() {
		return this.attempts.values().stream().map(Stage::state).reduce(RunState.NOT_RUN, RunState::combine);
	}

	private void advance(long attemptId, Stage stage) {
		this.attempts.merge(attemptId, stage, (before, next) -> (before.compareTo(next) >= 0) ? before : next);
	}

	/** The stages of an attempt, in the order in which it can advance. */
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
