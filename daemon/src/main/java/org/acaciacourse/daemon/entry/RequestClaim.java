package org.acaciacourse.daemon.entry;

import io.opentelemetry.api.trace.Span;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.code.RunState;
import org.acaciacourse.core.state.ClaimKey;
import org.acaciacourse.core.state.ClaimOutcome;
import org.acaciacourse.daemon.link.ControlLink;
import org.acaciacourse.daemon.telemetry.Traces;

/**
 * The claim of a request that runs at most once. The request is submitted only if its
 * claim is granted; with any other result the caller is answered without running it.
 * <p>
 * Not thread safe: belongs to the event loop of the caller.
 */
final class RequestClaim {

	private static final byte[] NO_RESPONSE = new byte[0];

	private final ClaimKey key;

	private final String digest;

	private final EntryContext context;

	private final ActiveRequest request;

	private boolean held;

	RequestClaim(ClaimKey key, String digest, EntryContext context, ActiveRequest request) {
		this.key = key;
		this.digest = digest;
		this.context = context;
		this.request = request;
	}

	/** Request the claim from the control VMs. */
	void acquire() {
		Span span = this.context.traces().startChildSpan("claim", this.request.span());
		this.context.link()
			.claim(this.key, this.digest, Traces.traceparent(span))
			.whenCompleteAsync((result, failure) -> {
				span.end();
				if (failure != null) {
					this.request.claimRefused(ResultCode.CLAIM_UNAVAILABLE, RunState.NOT_RUN);
				}
				else {
					handleResult(result);
				}
			}, this.request.executor());
	}

	private void handleResult(ControlLink.ClaimResult result) {
		if (result.granted()) {
			this.held = true;
			this.request.submitToDispatcher();
		}
		else if (result.code() == ResultCode.OK && result.outcome() == ClaimOutcome.ANSWERED) {
			result.response()
				.flatMap(StoredResponse::decode)
				.ifPresentOrElse(this.request::replay,
						() -> this.request.claimRefused(ResultCode.CLAIM_ANSWER_NOT_KEPT, RunState.RUN));
		}
		else {
			ResultCode code = (result.code() != ResultCode.OK) ? result.code() : ResultCode.CLAIM_OUTCOME_UNKNOWN;
			this.request.claimRefused(code, runStateOf(code));
		}
	}

	private static RunState runStateOf(ResultCode code) {
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
	 * Complete the claim of a request that was answered.
	 * @param response the encoded response, empty if it is not stored
	 */
	void completeWithResponse(byte[] response) {
		complete(ClaimOutcome.ANSWERED, response);
	}

	/**
	 * Complete the claim of a request that ended without a complete response.
	 * @param notRun whether the request is proven not to have run
	 */
	void completeWithoutResponse(boolean notRun) {
		complete((notRun) ? ClaimOutcome.NOT_RUN : ClaimOutcome.UNKNOWN, NO_RESPONSE);
	}

	private void complete(ClaimOutcome outcome, byte[] response) {
		if (this.held) {
			this.context.link()
				.complete(this.key, outcome, response)
				.whenComplete((code, failure) -> this.request.claimCompleted());
		}
	}

}
