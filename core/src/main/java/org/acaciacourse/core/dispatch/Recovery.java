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
		Flight flight = run.flight;
		flight.run = null;
		noteEndpoint(run, outcome, now);
		if (outcome == AttemptOutcome.CRASHED) {
			noteCrash(run, now);
		}
		if (flight.isDone()) {
			return;
		}
		switch (outcome) {
			case COMPLETE -> complete(run, now);
			case REJECTED -> this.state.finish(flight, ResultCode.ENDPOINT_ERROR, 0);
			case CANCELLED -> resume(flight, now);
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
		Flight flight = run.flight;
		flight.set.learnAnswer(flight, now);
		flight.set.learnRun(run, now);
		this.state.close(flight);
		long content = flight.info.contentHash();
		int crashes = this.state.suspects.crashes(content, now);
		if (flight.apart && crashes > 0 && crashes < SuspectTable.CONVICTION) {
			acquit(flight, now);
		}
	}

	// Clear a suspect that got past the point where the endpoint had crashed. The next
	// one
	// need not wait for the end of a long answer. A second crash while this request runs
	// convicts it all the same.
	void survived(Run run, long now) {
		if (run.apart && run.tokens >= PROBATION_TOKENS && run.flight.apart) {
			acquit(run.flight, now);
			moveAway(run.flight);
		}
	}

	// Make room for the next trial: the acquitted one goes on at another endpoint.
	private void moveAway(Flight flight) {
		if (mayRunAgain(flight) && flight.set.endpoints.size() > 1) {
			this.state.abandonRun(flight);
		}
	}

	private void acquit(Flight flight, long now) {
		flight.apart = false;
		this.state.suspects.note(flight.info.contentHash(), 0, true, now);
		this.state.actions.publishSuspect(flight.info.contentHash(), 0);
	}

	// Take the same content off other endpoints before it crashes them too.
	void cancelTwins(long content, long now) {
		for (Flight flight : List.copyOf(this.state.flights.values())) {
			boolean twin = flight.info.contentHash() == content && flight.run != null && !flight.run.apart;
			if (twin && mayRunAgain(flight)) {
				flight.apart = true;
				this.state.abandonRun(flight);
			}
		}
	}

	// Note what ran on an endpoint when it crashed. A run beside others proves nothing
	// and makes it suspect; a run apart convicts.
	private void noteCrash(Run run, long now) {
		long content = run.flight.info.contentHash();
		run.flight.crashes++;
		boolean proof = run.apart || run.flight.crashes >= SuspectTable.CONVICTION;
		int crashes = (proof) ? SuspectTable.CONVICTION : 1;
		if (this.state.suspects.crashes(content, now) >= crashes) {
			return;
		}
		this.state.suspects.note(content, crashes, true, now);
		this.state.actions.publishSuspect(content, crashes);
		cancelTwins(content, now);
	}

	private void retry(Run run, AttemptOutcome outcome, long now) {
		Flight flight = run.flight;
		boolean notRun = outcome == AttemptOutcome.NOT_SENT || outcome == AttemptOutcome.REFUSED;
		if (this.state.suspects.crashes(flight.info.contentHash(), now) >= SuspectTable.CONVICTION) {
			this.state.finish(flight, ResultCode.CRASHING_CONTENT, 0);
		}
		else if (!notRun && !mayRunAgain(flight)) {
			this.state.finish(flight, finalCode(flight, outcome), 0);
		}
		else if (!notRun && flight.set.endpoints.size() == 1) {
			// There is no other endpoint: the caller gets its answer now, not at its
			// deadline.
			this.state.finish(flight, ResultCode.RETRIES_EXHAUSTED, BACKOFF_NANOS << MAX_BACKOFF_SHIFT);
		}
		else if (++flight.failures >= flight.line.tuning.maxAttempts() || !spendBudget(run)) {
			this.state.finish(flight, ResultCode.RETRIES_EXHAUSTED, BACKOFF_NANOS << MAX_BACKOFF_SHIFT);
		}
		else {
			queueRetry(run, now);
		}
	}

	private boolean mayRunAgain(Flight flight) {
		return !flight.info.notRepeated() && (flight.delivered == 0 || flight.set.canContinue());
	}

	private static ResultCode finalCode(Flight flight, AttemptOutcome outcome) {
		if (flight.delivered > 0) {
			return ResultCode.ANSWER_TRUNCATED;
		}
		return (outcome == AttemptOutcome.SILENT) ? ResultCode.ENDPOINT_TIMEOUT : ResultCode.ENDPOINT_LOST;
	}

	private boolean spendBudget(Run run) {
		var ofClass = this.state.retries(run.flight.info.requestClass());
		if (!ofClass.hasOne() || !run.endpoint.retries.hasOne()) {
			return false;
		}
		ofClass.spend();
		run.endpoint.retries.spend();
		return true;
	}

	private void queueRetry(Run run, long now) {
		Flight flight = run.flight;
		flight.tried.add(run.endpoint);
		if (flight.tried.size() >= flight.set.endpoints.size()) {
			flight.tried.clear();
			if (flight.set.endpoints.size() > 1) {
				flight.tried.add(run.endpoint);
			}
		}
		int shift = Math.min(MAX_BACKOFF_SHIFT, flight.failures - 1);
		flight.notBefore = now + (long) ((BACKOFF_NANOS << shift) * this.state.jitter());
		if (flight.notBefore >= flight.deadlineAt) {
			this.state.finish(flight, ResultCode.DEADLINE_EXCEEDED, 0);
			return;
		}
		flight.apart = this.state.suspects.crashes(flight.info.contentHash(), now) > 0;
		if (flight.apart) {
			long trialFrom = this.state.suspects.trialFrom(flight.info.contentHash(), 0, now);
			flight.notBefore = Math.max(flight.notBefore, trialFrom);
		}
		flight.line.add(flight);
	}

	// Put a request back that was set aside for a higher tier.
	private void resume(Flight flight, long now) {
		flight.line.add(flight);
	}

}
