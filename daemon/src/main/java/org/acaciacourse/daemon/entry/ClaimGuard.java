package org.acaciacourse.daemon.entry;

import io.opentelemetry.api.trace.Span;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.code.RunState;
import org.acaciacourse.core.state.ClaimKey;
import org.acaciacourse.core.state.ClaimOutcome;
import org.acaciacourse.daemon.link.ControlLink;
import org.acaciacourse.daemon.telemetry.Traces;

/**
 * The claim of a request that runs at most once. Only a granted claim lets the request go
 * on; every other result answers the caller without a run.
 * <p>
 * Not thread safe: belongs to the event loop of the caller.
 */
final class ClaimGuard {

	private static final byte[] NOTHING = new byte[0];

	private final ClaimKey key;

	private final String digest;

	private final EntryContext context;

	private final Exchange exchange;

	private boolean held;

	ClaimGuard(ClaimKey key, String digest, EntryContext context, Exchange exchange) {
		this.key = key;
		this.digest = digest;
		this.context = context;
		this.exchange = exchange;
	}

	/** Ask for the claim. */
	void begin() {
		Span span = this.context.traces().child("claim", this.exchange.span());
		this.context.link()
			.claim(this.key, this.digest, Traces.traceparent(span))
			.whenCompleteAsync((result, failure) -> {
				span.end();
				if (failure != null) {
					this.exchange.claimRefused(ResultCode.CLAIM_UNAVAILABLE, RunState.NOT_RUN);
				}
				else {
					decided(result);
				}
			}, this.exchange.executor());
	}

	private void decided(ControlLink.ClaimResult result) {
		if (result.granted()) {
			this.held = true;
			this.exchange.arrive();
		}
		else if (result.code() == ResultCode.OK && result.outcome() == ClaimOutcome.ANSWERED) {
			result.answer()
				.flatMap(KeptAnswer::decode)
				.ifPresentOrElse(this.exchange::replay,
						() -> this.exchange.claimRefused(ResultCode.CLAIM_ANSWER_NOT_KEPT, RunState.RUN));
		}
		else {
			ResultCode code = (result.code() != ResultCode.OK) ? result.code() : ResultCode.CLAIM_OUTCOME_UNKNOWN;
			this.exchange.claimRefused(code, stateOf(code));
		}
	}

	private static RunState stateOf(ResultCode code) {
		return switch (code) {
			case CLAIM_IN_PROGRESS, CLAIM_OUTCOME_UNKNOWN -> RunState.UNKNOWN;
			case CLAIM_ANSWER_NOT_KEPT -> RunState.RUN;
			default -> RunState.NOT_RUN;
		};
	}

	boolean isHeld() {
		return this.held;
	}

	/**
	 * The request was answered.
	 * @param answer the encoded answer, empty if it is not kept
	 */
	void answered(byte[] answer) {
		complete(ClaimOutcome.ANSWERED, answer);
	}

	/**
	 * The request ended without a whole answer.
	 * @param notRun whether it is proven not to have run
	 */
	void ended(boolean notRun) {
		complete((notRun) ? ClaimOutcome.NOT_RUN : ClaimOutcome.UNKNOWN, NOTHING);
	}

	private void complete(ClaimOutcome outcome, byte[] answer) {
		if (this.held) {
			this.context.link()
				.complete(this.key, outcome, answer)
				.whenComplete((code, failure) -> this.exchange.claimCompleted());
		}
	}

}
