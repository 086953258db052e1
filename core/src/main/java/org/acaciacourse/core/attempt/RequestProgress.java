package org.acaciacourse.core.attempt;

import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.code.RunState;
import org.acaciacourse.core.route.Route;

/**
 * Decides after each attempt of a routed request whether it is retried or which final
 * result is reported. Invariants: a request that is not idempotent is retried only if
 * certainly no endpoint ran it; the attempts that endpoints may run never exceed the
 * limit of the route; a status that means "not run" is reported only if no attempt can
 * have run.
 * <p>
 * Not thread safe: belongs to the event loop of its request.
 */
public final class RequestProgress {

	private final Route route;

	private final Set<String> triedInstances = new HashSet<>();

	private int sentAttempts;

	/** Attempts that endpoints ran or may run, excluding those that they refused. */
	private int attemptsThatMayHaveRun;

	/** Whether an attempt that may run is in progress. */
	private boolean attemptInProgress;

	/** Whether an attempt that ended may have run. */
	private boolean earlierAttemptMayHaveRun;

	private boolean responseForwarded;

	private AttemptEnd lastEnd = AttemptEnd.NOT_SENT;

	public RequestProgress(Route route) {
		this.route = Objects.requireNonNull(route, "route");
	}

	/**
	 * Record the start of an attempt.
	 * @param instance the instance of the endpoint
	 */
	public void attemptStarted(String instance) {
		this.triedInstances.add(instance);
	}

	/**
	 * Record that the request is about to be written to an endpoint. From now on the
	 * attempt may run, unless its end shows otherwise. Must be called before the first
	 * byte is written.
	 */
	public void beforeSend() {
		this.sentAttempts++;
		this.attemptsThatMayHaveRun++;
		this.attemptInProgress = true;
	}

	/**
	 * Record that a part of the response was forwarded to the caller.
	 */
	public void responseForwarded() {
		this.responseForwarded = true;
		this.earlierAttemptMayHaveRun = true;
	}

	/**
	 * Record the end of an attempt.
	 * @param end how the attempt ended
	 */
	public void attemptEnded(AttemptEnd end) {
		this.lastEnd = end;
		if (this.attemptInProgress && !end.mayHaveRun()) {
			this.attemptsThatMayHaveRun--;
		}
		this.attemptInProgress = false;
		this.earlierAttemptMayHaveRun |= end.mayHaveRun();
	}

	/**
	 * Return whether the request may be retried after the last attempt.
	 * @return whether both the route and the earlier attempts permit a retry
	 */
	public boolean mayRetry() {
		boolean attemptsLeft = this.attemptsThatMayHaveRun < this.route.maxAttempts();
		boolean safeToRepeat = this.route.isIdempotent() || !this.earlierAttemptMayHaveRun;
		boolean canResume = !this.responseForwarded || this.route.resumable();
		return attemptsLeft && safeToRepeat && canResume && this.lastEnd != AttemptEnd.ANSWERED;
	}

	/**
	 * Return whether another attempt would be a retry of one that may have reached an
	 * endpoint. Such an attempt counts against the retry budget.
	 * @return whether an earlier attempt was sent
	 */
	public boolean isRetry() {
		return this.sentAttempts > 0;
	}

	/**
	 * Return whether the request was sent more than once.
	 * @return whether the latest attempt that was sent is a retry
	 */
	public boolean isRepeated() {
		return this.sentAttempts > 1;
	}

	/**
	 * Return the instances of the endpoints that were tried.
	 * @return the instances
	 */
	public Set<String> triedInstances() {
		return Set.copyOf(this.triedInstances);
	}

	/**
	 * Return whether the request is known not to have run.
	 * @return {@link RunState#NOT_RUN} only if no endpoint ran the request and none will,
	 * otherwise {@link RunState#UNKNOWN}
	 */
	public RunState runState() {
		return (this.attemptInProgress || this.earlierAttemptMayHaveRun) ? RunState.UNKNOWN : RunState.NOT_RUN;
	}

	/**
	 * Return the result code of a request that is no longer retried.
	 * @param timedOut whether the request timed out
	 * @return the code, whose status means "not run" only if that is certain
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
