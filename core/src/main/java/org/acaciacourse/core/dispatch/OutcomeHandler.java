package org.acaciacourse.core.dispatch;

import java.util.List;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.suspect.SuspectTable;

/**
 * Decides what follows the end of an attempt: the final response, a retry at another
 * endpoint, or requeueing after a preemption.
 * <p>
 * Invariants: a request that may not be repeated is retried only if no byte of it reached
 * an endpoint or the endpoint reported that it did not run it; a retry goes to another
 * endpoint if the set has one, within the budgets of class and endpoint, with jitter and
 * before the deadline; content is blocked only after a crash during an isolated attempt
 * or after the second crash of one request.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class OutcomeHandler {

	private static final long BACKOFF_NANOS = 10_000_000L;

	private static final int MAX_BACKOFF_SHIFT = 6;

	private static final int SURVIVAL_TOKENS = 8;

	private final DispatchState state;

	OutcomeHandler(DispatchState state) {
		this.state = state;
	}

	// Handles the outcome of an attempt that was already removed from its endpoint.
	void attemptEnded(ActiveAttempt attempt, AttemptOutcome outcome, long now) {
		PendingRequest pending = attempt.pending;
		pending.attempt = null;
		updateEndpoint(attempt, outcome, now);
		if (outcome == AttemptOutcome.CRASHED) {
			recordCrash(attempt, now);
		}
		if (pending.isDone()) {
			return;
		}
		switch (outcome) {
			case COMPLETE -> complete(attempt, now);
			case REJECTED -> this.state.finish(pending, ResultCode.ENDPOINT_ERROR, 0);
			case CANCELLED -> requeue(pending, now);
			default -> retry(attempt, outcome, now);
		}
	}

	private void updateEndpoint(ActiveAttempt attempt, AttemptOutcome outcome, long now) {
		if (outcome == AttemptOutcome.COMPLETE || outcome == AttemptOutcome.REJECTED) {
			attempt.endpoint.attemptSucceeded();
		}
		else if (outcome == AttemptOutcome.REFUSED) {
			attempt.endpoint.attemptRefused(now);
		}
		else if (outcome.isEndpointFailure()) {
			attempt.endpoint.attemptFailed(outcome, now, this.state.jitter());
		}
	}

	private void complete(ActiveAttempt attempt, long now) {
		PendingRequest pending = attempt.pending;
		pending.endpointSet.recordAnswerLength(pending);
		pending.endpointSet.recordDuration(attempt, now);
		this.state.close(pending);
		long content = pending.info.contentHash();
		int crashes = this.state.suspects.crashes(content, now);
		if (pending.isolated && crashes > 0 && crashes < SuspectTable.BLOCKING_CRASHES) {
			clearSuspicion(pending, now);
		}
	}

	// Clears the suspicion once an isolated attempt has produced SURVIVAL_TOKENS tokens
	// and so passed the point at which the endpoint crashed. The next suspect then need
	// not wait for the end of a long response. If the same request crashes an endpoint
	// again, its content is still blocked.
	void clearIfSurvived(ActiveAttempt attempt, long now) {
		if (attempt.isolated && attempt.tokens >= SURVIVAL_TOKENS && attempt.pending.isolated) {
			clearSuspicion(attempt.pending, now);
			releaseIsolationEndpoint(attempt.pending);
		}
	}

	// Frees the isolation endpoint for the next suspect: the cleared request continues at
	// another endpoint.
	private void releaseIsolationEndpoint(PendingRequest pending) {
		if (mayRepeat(pending) && pending.endpointSet.endpoints.size() > 1) {
			this.state.cancelAttempt(pending);
		}
	}

	private void clearSuspicion(PendingRequest pending, long now) {
		pending.isolated = false;
		this.state.suspects.record(pending.info.contentHash(), 0, true, now);
		this.state.actions.publishSuspect(pending.info.contentHash(), 0);
	}

	// Cancels other attempts with the same content before they crash their endpoints.
	void cancelSameContent(long content, long now) {
		for (PendingRequest pending : List.copyOf(this.state.requests.values())) {
			boolean sameContent = pending.info.contentHash() == content && pending.attempt != null
					&& !pending.attempt.isolated;
			if (sameContent && mayRepeat(pending)) {
				pending.isolated = true;
				this.state.cancelAttempt(pending);
			}
		}
	}

	// Records that a request was running on an endpoint that crashed. After a shared
	// attempt the content is only suspect; a crash during an isolated attempt proves that
	// it was the cause.
	private void recordCrash(ActiveAttempt attempt, long now) {
		long content = attempt.pending.info.contentHash();
		attempt.pending.crashCount++;
		boolean proven = attempt.isolated || attempt.pending.crashCount >= SuspectTable.BLOCKING_CRASHES;
		int crashes = (proven) ? SuspectTable.BLOCKING_CRASHES : 1;
		if (this.state.suspects.crashes(content, now) >= crashes) {
			return;
		}
		this.state.suspects.record(content, crashes, true, now);
		this.state.actions.publishSuspect(content, crashes);
		cancelSameContent(content, now);
	}

	private void retry(ActiveAttempt attempt, AttemptOutcome outcome, long now) {
		PendingRequest pending = attempt.pending;
		boolean notRun = outcome == AttemptOutcome.NOT_SENT || outcome == AttemptOutcome.REFUSED;
		if (this.state.suspects.crashes(pending.info.contentHash(), now) >= SuspectTable.BLOCKING_CRASHES) {
			this.state.finish(pending, ResultCode.CRASHING_CONTENT, 0);
		}
		else if (!notRun && !mayRepeat(pending)) {
			this.state.finish(pending, finalCode(pending, outcome), 0);
		}
		else if (!notRun && pending.endpointSet.endpoints.size() == 1) {
			// There is no other endpoint: respond to the caller now rather than at its
			// deadline.
			this.state.finish(pending, ResultCode.RETRIES_EXHAUSTED, BACKOFF_NANOS << MAX_BACKOFF_SHIFT);
		}
		else if (++pending.failureCount >= pending.queue.settings.maxAttempts() || !withdrawRetry(attempt)) {
			this.state.finish(pending, ResultCode.RETRIES_EXHAUSTED, BACKOFF_NANOS << MAX_BACKOFF_SHIFT);
		}
		else {
			requeueForRetry(attempt, now);
		}
	}

	private boolean mayRepeat(PendingRequest pending) {
		return !pending.info.notRepeated() && (pending.deliveredTokens == 0 || pending.endpointSet.canResume());
	}

	private static ResultCode finalCode(PendingRequest pending, AttemptOutcome outcome) {
		if (pending.deliveredTokens > 0) {
			return ResultCode.ANSWER_TRUNCATED;
		}
		return (outcome == AttemptOutcome.SILENT) ? ResultCode.ENDPOINT_TIMEOUT : ResultCode.ENDPOINT_LOST;
	}

	private boolean withdrawRetry(ActiveAttempt attempt) {
		var classBudget = this.state.retryBudget(attempt.pending.info.requestClass());
		if (!classBudget.canWithdraw() || !attempt.endpoint.retryBudget.canWithdraw()) {
			return false;
		}
		classBudget.withdraw();
		attempt.endpoint.retryBudget.withdraw();
		return true;
	}

	private void requeueForRetry(ActiveAttempt attempt, long now) {
		PendingRequest pending = attempt.pending;
		pending.triedEndpoints.add(attempt.endpoint);
		if (pending.triedEndpoints.size() >= pending.endpointSet.endpoints.size()) {
			pending.triedEndpoints.clear();
			if (pending.endpointSet.endpoints.size() > 1) {
				pending.triedEndpoints.add(attempt.endpoint);
			}
		}
		int shift = Math.min(MAX_BACKOFF_SHIFT, pending.failureCount - 1);
		pending.notBefore = now + (long) ((BACKOFF_NANOS << shift) * this.state.jitter());
		if (pending.notBefore >= pending.deadlineAt) {
			this.state.finish(pending, ResultCode.DEADLINE_EXCEEDED, 0);
			return;
		}
		pending.isolated = this.state.suspects.crashes(pending.info.contentHash(), now) > 0;
		if (pending.isolated) {
			long allowedAt = this.state.suspects.isolatedAttemptAllowedAt(pending.info.contentHash(), 0, now);
			pending.notBefore = Math.max(pending.notBefore, allowedAt);
		}
		pending.queue.add(pending);
	}

	// Requeues a request whose attempt was cancelled, for example by preemption.
	private void requeue(PendingRequest pending, long now) {
		pending.queue.add(pending);
	}

}
