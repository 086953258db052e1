package org.acaciacourse.core.dispatch;

import java.util.List;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.suspect.SuspectTable;

/**
 * Decides what follows the end of an attempt: the final answer, a retry elsewhere, or a
 * place in the line for a request that was set aside.
 * <p>
 * Invariants: a request that may not be repeated is tried again only if no byte of it
 * reached an endpoint or the endpoint says that it did not run it; a retry goes to
 * another endpoint, within the budgets of class and endpoint, with jitter and inside the
 * deadline; content is convicted only by a crash while it ran apart.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class Recovery {

	private static final long BACKOFF_NANOS = 10_000_000L;

	private static final int MAX_BACKOFF_SHIFT = 6;

	private static final int PROBATION_TOKENS = 8;

	private final DispatchState state;

	Recovery(DispatchState state) {
		this.state = state;
	}

	// Follow up the end of a run that is already off its endpoint.
	void ended(Run run, AttemptOutcome outcome, long now) {
		PendingRequest pending = run.pending;
		pending.run = null;
		noteEndpoint(run, outcome, now);
		if (outcome == AttemptOutcome.CRASHED) {
			noteCrash(run, now);
		}
		if (pending.isDone()) {
			return;
		}
		switch (outcome) {
			case COMPLETE -> complete(run, now);
			case REJECTED -> this.state.finish(pending, ResultCode.ENDPOINT_ERROR, 0);
			case CANCELLED -> resume(pending, now);
			default -> retry(run, outcome, now);
		}
	}

	private void noteEndpoint(Run run, AttemptOutcome outcome, long now) {
		if (outcome == AttemptOutcome.COMPLETE || outcome == AttemptOutcome.REJECTED) {
			run.endpoint.succeeded();
		}
		else if (outcome == AttemptOutcome.REFUSED) {
			run.endpoint.refusedWork(now);
		}
		else if (outcome.blamesEndpoint()) {
			run.endpoint.failed(outcome, now, this.state.jitter());
		}
	}

	private void complete(Run run, long now) {
		PendingRequest pending = run.pending;
		pending.set.learnAnswer(pending);
		pending.set.learnRun(run, now);
		this.state.close(pending);
		long content = pending.info.contentHash();
		int crashes = this.state.suspects.crashes(content, now);
		if (pending.apart && crashes > 0 && crashes < SuspectTable.CONVICTION) {
			acquit(pending, now);
		}
	}

	// Clear a suspect that got past the point where the endpoint had crashed. The next
	// one need not wait for the end of a long answer. A second crash while this request
	// runs convicts it all the same.
	void survived(Run run, long now) {
		if (run.apart && run.tokens >= PROBATION_TOKENS && run.pending.apart) {
			acquit(run.pending, now);
			moveAway(run.pending);
		}
	}

	// Make room for the next trial: the acquitted one goes on at another endpoint.
	private void moveAway(PendingRequest pending) {
		if (mayRunAgain(pending) && pending.set.endpoints.size() > 1) {
			this.state.abandonRun(pending);
		}
	}

	private void acquit(PendingRequest pending, long now) {
		pending.apart = false;
		this.state.suspects.note(pending.info.contentHash(), 0, true, now);
		this.state.actions.publishSuspect(pending.info.contentHash(), 0);
	}

	// Take the same content off other endpoints before it crashes them too.
	void cancelTwins(long content, long now) {
		for (PendingRequest pending : List.copyOf(this.state.requests.values())) {
			boolean twin = pending.info.contentHash() == content && pending.run != null && !pending.run.apart;
			if (twin && mayRunAgain(pending)) {
				pending.apart = true;
				this.state.abandonRun(pending);
			}
		}
	}

	// Note what ran on an endpoint when it crashed. A run beside others proves nothing
	// and makes it suspect; a run apart convicts.
	private void noteCrash(Run run, long now) {
		long content = run.pending.info.contentHash();
		run.pending.crashes++;
		boolean proof = run.apart || run.pending.crashes >= SuspectTable.CONVICTION;
		int crashes = (proof) ? SuspectTable.CONVICTION : 1;
		if (this.state.suspects.crashes(content, now) >= crashes) {
			return;
		}
		this.state.suspects.note(content, crashes, true, now);
		this.state.actions.publishSuspect(content, crashes);
		cancelTwins(content, now);
	}

	private void retry(Run run, AttemptOutcome outcome, long now) {
		PendingRequest pending = run.pending;
		boolean notRun = outcome == AttemptOutcome.NOT_SENT || outcome == AttemptOutcome.REFUSED;
		if (this.state.suspects.crashes(pending.info.contentHash(), now) >= SuspectTable.CONVICTION) {
			this.state.finish(pending, ResultCode.CRASHING_CONTENT, 0);
		}
		else if (!notRun && !mayRunAgain(pending)) {
			this.state.finish(pending, finalCode(pending, outcome), 0);
		}
		else if (!notRun && pending.set.endpoints.size() == 1) {
			// There is no other endpoint: the caller gets its answer now, not at its
			// deadline.
			this.state.finish(pending, ResultCode.RETRIES_EXHAUSTED, BACKOFF_NANOS << MAX_BACKOFF_SHIFT);
		}
		else if (++pending.failures >= pending.line.tuning.maxAttempts() || !spendBudget(run)) {
			this.state.finish(pending, ResultCode.RETRIES_EXHAUSTED, BACKOFF_NANOS << MAX_BACKOFF_SHIFT);
		}
		else {
			queueRetry(run, now);
		}
	}

	private boolean mayRunAgain(PendingRequest pending) {
		return !pending.info.notRepeated() && (pending.delivered == 0 || pending.set.canContinue());
	}

	private static ResultCode finalCode(PendingRequest pending, AttemptOutcome outcome) {
		if (pending.delivered > 0) {
			return ResultCode.ANSWER_TRUNCATED;
		}
		return (outcome == AttemptOutcome.SILENT) ? ResultCode.ENDPOINT_TIMEOUT : ResultCode.ENDPOINT_LOST;
	}

	private boolean spendBudget(Run run) {
		var ofClass = this.state.retries(run.pending.info.requestClass());
		if (!ofClass.hasOne() || !run.endpoint.retries.hasOne()) {
			return false;
		}
		ofClass.spend();
		run.endpoint.retries.spend();
		return true;
	}

	private void queueRetry(Run run, long now) {
		PendingRequest pending = run.pending;
		pending.tried.add(run.endpoint);
		if (pending.tried.size() >= pending.set.endpoints.size()) {
			pending.tried.clear();
			if (pending.set.endpoints.size() > 1) {
				pending.tried.add(run.endpoint);
			}
		}
		int shift = Math.min(MAX_BACKOFF_SHIFT, pending.failures - 1);
		pending.notBefore = now + (long) ((BACKOFF_NANOS << shift) * this.state.jitter());
		if (pending.notBefore >= pending.deadlineAt) {
			this.state.finish(pending, ResultCode.DEADLINE_EXCEEDED, 0);
			return;
		}
		pending.apart = this.state.suspects.crashes(pending.info.contentHash(), now) > 0;
		if (pending.apart) {
			long trialFrom = this.state.suspects.trialFrom(pending.info.contentHash(), 0, now);
			pending.notBefore = Math.max(pending.notBefore, trialFrom);
		}
		pending.line.add(pending);
	}

	// Put a request back that was set aside for a higher tier.
	private void resume(PendingRequest pending, long now) {
		pending.line.add(pending);
	}

}
