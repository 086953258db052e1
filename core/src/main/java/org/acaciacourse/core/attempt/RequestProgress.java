package org.acaciacourse.core.attempt;

import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.code.RunState;
import org.acaciacourse.core.route.Route;

/**
 * Decides what follows each attempt of a routed request: another one, or the final
 * answer. Invariants: a request that is not idempotent is sent again only if it is
 * certain that no endpoint ran it; no more endpoints may run it than its route allows; a
 * status that promises "not run" is told only if no attempt may have run.
 * <p>
 * Not thread safe: belongs to the event loop of its caller.
 */
public final class RequestProgress {

	private final Route route;

	private final Set<String> triedInstances = new HashSet<>();

	private int sentAttempts;

	/**
	 * Attempts that endpoints ran or may run; those that they turned away don't count.
	 */
	private int attemptsThatMayHaveRun;

	/** Whether an attempt is under way that may run. */
	private boolean attemptInProgress;

	/** Whether an attempt that ended may have run. */
	private boolean earlierAttemptMayHaveRun;

	private boolean responseForwarded;

	private AttemptEnd lastEnd = AttemptEnd.NOT_SENT;

	public RequestProgress(Route route) {
		this.route = Objects.requireNonNull(route, "route");
	}

	/**
	 * An attempt begins.
	 * @param instance the endpoint's instance
	 */
	public void begin(String instance) {
		this.triedInstances.add(instance);
	}

	/**
	 * A byte of the request is about to leave for an endpoint. Until the attempt ends
	 * otherwise it may run.
	 */
	public void sent() {
		this.sentAttempts++;
		this.attemptsThatMayHaveRun++;
		this.attemptInProgress = true;
	}

	/**
	 * A part of an answer was passed on to the caller.
	 */
	public void passedOn() {
		this.responseForwarded = true;
		this.earlierAttemptMayHaveRun = true;
	}

	/**
	 * An attempt ended.
	 * @param end how
	 */
	public void ended(AttemptEnd end) {
		this.lastEnd = end;
		if (this.attemptInProgress && !end.mayHaveRun()) {
			this.attemptsThatMayHaveRun--;
		}
		this.attemptInProgress = false;
		this.earlierAttemptMayHaveRun |= end.mayHaveRun();
	}

	/**
	 * Return whether the request may be sent once more after the last attempt.
	 * @return whether neither the route nor what may have run forbids it
	 */
	public boolean mayTryAgain() {
		boolean attemptsLeft = this.attemptsThatMayHaveRun < this.route.maxAttempts();
		boolean safeToRepeat = this.route.isIdempotent() || !this.earlierAttemptMayHaveRun;
		boolean canResume = !this.responseForwarded || this.route.resumable();
		return attemptsLeft && safeToRepeat && canResume && this.lastEnd != AttemptEnd.ANSWERED;
	}

	/**
	 * Return whether another attempt would be a repeat of one that reached an endpoint,
	 * which the retry budget pays for.
	 * @return whether a byte was sent before
	 */
	public boolean isRepeat() {
		return this.sentAttempts > 0;
	}

	/**
	 * Return the endpoints that had their turn.
	 * @return their instances
	 */
	public Set<String> tried() {
		return Set.copyOf(this.triedInstances);
	}

	/**
	 * Return what is known of the request at its endpoints.
	 * @return {@link RunState#NOT_RUN} only if no endpoint ran it and none will
	 */
	public RunState runState() {
		return (this.attemptInProgress || this.earlierAttemptMayHaveRun) ? RunState.UNKNOWN : RunState.NOT_RUN;
	}

	/**
	 * Return the code of the final answer when no attempt is left.
	 * @param timedOut whether the time of the request is over
	 * @return the code, whose status promises nothing that is not certain
	 */
	public ResultCode failure(boolean timedOut) {
		boolean notRun = runState() == RunState.NOT_RUN;
		if (notRun) {
			return (timedOut) ? ResultCode.TARGET_UNREACHABLE : ResultCode.NO_ENDPOINT;
		}
		if (timedOut) {
			return ResultCode.ENDPOINT_TIMEOUT;
		}
		return failureOf(this.lastEnd).orElse(ResultCode.RETRIES_EXHAUSTED);
	}

	private static Optional<ResultCode> failureOf(AttemptEnd end) {
		return switch (end) {
			case BROKEN -> Optional.of(ResultCode.ENDPOINT_LOST);
			case MISMATCH -> Optional.of(ResultCode.ANSWER_MISMATCH);
			case SILENT -> Optional.of(ResultCode.ENDPOINT_TIMEOUT);
			case FAILED -> Optional.of(ResultCode.ENDPOINT_ERROR);
			case ANSWERED, NOT_SENT, NOT_RUN -> Optional.empty();
		};
	}

}
