package org.acaciacourse.daemon.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import io.opentelemetry.api.trace.Span;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.code.RunState;
import org.acaciacourse.core.delivery.ResponseTokenSequence;
import org.acaciacourse.core.delivery.RunStateTracker;
import org.acaciacourse.core.dispatch.AttemptOutcome;
import org.acaciacourse.core.dispatch.DispatchActions;
import org.acaciacourse.core.dispatch.RequestInfo;
import org.acaciacourse.core.model.Endpoint;
import org.acaciacourse.daemon.http.CallerResponse;
import org.acaciacourse.daemon.http.Refusal;

/**
 * One request from its arrival to its end. The caller gets exactly one result: the
 * complete response, a refusal, or an error event in a stream that has started.
 * <p>
 * A request that runs at most once is claimed before it is submitted to the dispatcher,
 * and runs to its end even if its caller disconnects, so that a retry of the caller gets
 * the response.
 * <p>
 * Not thread safe: belongs to the event loop of the caller. Only {@link #id},
 * {@link #info} and {@link #executor} may be called by another thread.
 */
final class ActiveRequest {

	private static final long CHECK_INTERVAL_SECONDS = 5;

	private static final long MAX_BLOCKED_NANOS = TimeUnit.SECONDS.toNanos(30);

	private static final long KEEP_ALIVE_IDLE_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final long DEADLINE_GRACE_NANOS = TimeUnit.SECONDS.toNanos(3);

	private final long id;

	private final RequestPlan plan;

	private final RequestInfo info;

	private final EntryContext context;

	private final CallerResponseWriter responseWriter;

	private final RequestTelemetry telemetry;

	private final RunStateTracker runStateTracker = new RunStateTracker();

	private final ResponseTokenSequence tokenSequence = new ResponseTokenSequence();

	private final Map<Long, EndpointAttempt> attempts = new LinkedHashMap<>();

	private final Optional<RequestClaim> claim;

	private ScheduledFuture<?> periodicCheck;

	private EndpointAttempt forwardedAttempt;

	private long exchangeCount;

	private String resumeSource = "";

	private boolean resumeRefused;

	private Optional<StoredResponse> rejection = Optional.empty();

	private ResultCode lastFailure = ResultCode.ENDPOINT_ERROR;

	private boolean submitted;

	private boolean done;

	ActiveRequest(long id, RequestPlan plan, EntryContext context, CallerResponse response,
			RequestTelemetry telemetry) {
		this.id = id;
		this.plan = plan;
		this.context = context;
		this.info = plan.info(id, context.dispatchLoop().now());
		this.telemetry = telemetry;
		this.responseWriter = new CallerResponseWriter(response, telemetry.requestId(), plan.claim().isPresent());
		this.claim = plan.claim().map((key) -> new RequestClaim(key, plan.content().digest(), context, this));
		response.onDisconnect(this::callerGone);
		response.onWritable(this::resumeReading);
	}

	long id() {
		return this.id;
	}

	RequestInfo info() {
		return this.info;
	}

	EventExecutor executor() {
		return this.responseWriter.executor();
	}

	RequestPlan plan() {
		return this.plan;
	}

	String requestId() {
		return this.telemetry.requestId();
	}

	Span span() {
		return this.telemetry.span();
	}

	RunStateTracker runStateTracker() {
		return this.runStateTracker;
	}

	ResponseTokenSequence tokenSequence() {
		return this.tokenSequence;
	}

	long nextExchangeNumber() {
		return ++this.exchangeCount;
	}

	/** Claim the request if it runs at most once, else submit it to the dispatcher. */
	void start() {
		this.periodicCheck = executor().scheduleAtFixedRate(this::runPeriodicChecks, CHECK_INTERVAL_SECONDS,
				CHECK_INTERVAL_SECONDS, TimeUnit.SECONDS);
		this.claim.ifPresentOrElse(RequestClaim::acquire, this::submitToDispatcher);
	}

	/** Submit the request to the dispatcher, once its claim is granted if it has one. */
	void submitToDispatcher() {
		if (this.done) {
			this.claim
				.ifPresent((requestClaim) -> requestClaim.completeWithoutResponse(this.runStateTracker.mayRetry()));
			return;
		}
		this.submitted = this.context.dispatchLoop().submitArrival(this);
		if (!this.submitted) {
			fail(ResultCode.QUEUE_FULL, Optional.empty());
		}
	}

	/**
	 * Refuse the request because its claim was not granted.
	 * @param code the reason
	 * @param runState whether an earlier request with the same key has run
	 */
	void claimRefused(ResultCode code, RunState runState) {
		if (!this.done) {
			markDone();
			this.responseWriter.refuse(Refusal.of(code, runState, Optional.empty()));
			this.telemetry.failed(code);
			removeUnlessClaimed();
		}
	}

	/**
	 * Answer with the stored response of a claim that was completed before.
	 * @param stored the response
	 */
	void replay(StoredResponse stored) {
		if (!this.done) {
			markDone();
			this.responseWriter.writeStored(stored);
			this.telemetry.replayed();
			removeUnlessClaimed();
		}
	}

	/**
	 * Start an attempt.
	 * @param attempt the attempt
	 * @param endpoint its endpoint
	 */
	void startAttempt(DispatchActions.Attempt attempt, Endpoint endpoint) {
		if (this.done) {
			this.context.dispatchLoop().attemptEnded(this.id, attempt.id(), AttemptOutcome.CANCELLED);
			return;
		}
		EndpointAttempt endpointAttempt = new EndpointAttempt(this, this.context, attempt, endpoint);
		this.attempts.put(attempt.id(), endpointAttempt);
		this.telemetry.attemptStarted();
		endpointAttempt.start();
	}

	/**
	 * Cancel an attempt.
	 * @param attemptId the id of the attempt
	 */
	void cancelAttempt(long attemptId) {
		EndpointAttempt attempt = this.attempts.get(attemptId);
		if (attempt != null) {
			attempt.cancel();
		}
	}

	/**
	 * End the request without a complete response.
	 * @param code the reason
	 * @param retryAfter the time after which the caller may retry
	 */
	void fail(ResultCode code, Optional<Duration> retryAfter) {
		if (this.done) {
			return;
		}
		markDone();
		if (this.rejection.isPresent() && this.responseWriter.writeStored(this.rejection.get())) {
			this.telemetry.failed(code);
			this.claim.ifPresent((requestClaim) -> requestClaim.completeWithResponse(this.rejection.get().encode()));
		}
		else {
			ResultCode reported = (code != ResultCode.ENDPOINT_ERROR) ? code : this.lastFailure;
			this.responseWriter.refuse(Refusal.of(reported, this.runStateTracker.state(), retryAfter));
			this.telemetry.failed(reported);
			this.claim
				.ifPresent((requestClaim) -> requestClaim.completeWithoutResponse(this.runStateTracker.mayRetry()));
		}
		removeUnlessClaimed();
	}

	/**
	 * Check a token and forward it if it is the next one.
	 * @param attempt the attempt
	 * @param exchange its exchange
	 * @param index the index of the token in the response
	 * @param eventData the event
	 * @return what to do with the token
	 */
	ResponseTokenSequence.Verdict acceptToken(EndpointAttempt attempt, EndpointExchange exchange, long index,
			EndpointExchange.EventData eventData) {
		this.telemetry.tokensReceived(1);
		if (exchange.tokenCount() == 1) {
			this.runStateTracker.ran(exchange.number());
		}
		if (this.forwardedAttempt == null) {
			this.forwardedAttempt = attempt;
		}
		if (this.forwardedAttempt != attempt) {
			return ResponseTokenSequence.Verdict.DISCARD;
		}
		this.tokenSequence.switchToAttempt(exchange.number());
		ResponseTokenSequence.Verdict verdict = this.tokenSequence.token(exchange.number(), index);
		if (verdict == ResponseTokenSequence.Verdict.FORWARD) {
			this.telemetry.firstTokenForwarded();
			this.responseWriter.appendEvent(index, eventData, exchange.idMatcher().length());
		}
		return verdict;
	}

	/**
	 * Accept the complete response of an attempt.
	 * @param attempt the attempt
	 * @param exchange its last exchange
	 * @return whether this response is the one forwarded to the caller
	 */
	boolean acceptResponse(EndpointAttempt attempt, EndpointExchange exchange) {
		if (this.done || (this.forwardedAttempt != null && this.forwardedAttempt != attempt)) {
			return false;
		}
		this.attempts.remove(attempt.attemptId());
		markDone();
		if (exchange.isStream()) {
			this.responseWriter.endStream();
			this.telemetry.completed(this.tokenSequence.forwardedTokens());
		}
		else {
			this.telemetry.tokensReceived(exchange.tokenCount());
			this.telemetry.firstTokenForwarded();
			this.responseWriter.forwardResponse(exchange, this.plan.isModel());
			this.telemetry.completed(exchange.tokenCount());
		}
		this.claim
			.ifPresent((requestClaim) -> requestClaim.completeWithResponse(this.responseWriter.encodedResponse()));
		removeUnlessClaimed();
		return true;
	}

	/**
	 * Record the end of an exchange.
	 * @param exchange the exchange
	 * @param outcome how it ended
	 */
	void recordExchangeEnd(EndpointExchange exchange, EndpointExchange.Outcome outcome) {
		if (exchange.call().mayHaveBeenSent()) {
			this.runStateTracker.beforeSend(exchange.number());
		}
		switch (outcome) {
			case REFUSED, CANNOT_RESUME -> this.runStateTracker.refused(exchange.number(), exchange.number());
			case COMPLETE -> this.runStateTracker.ran(exchange.number());
			case NOT_SENT -> {
			}
			default -> setResumeSource(exchange);
		}
	}

	/**
	 * Set the exchange that a later one may resume, if the engine supports it.
	 * @param exchange the interrupted exchange
	 */
	void setResumeSource(EndpointExchange exchange) {
		this.resumeSource = exchange.exchangeId();
		this.resumeRefused = false;
	}

	/**
	 * Store the response of an endpoint that rejected the request as invalid.
	 * @param exchange the exchange
	 */
	void storeRejection(EndpointExchange exchange) {
		String type = exchange.responseHead().header("content-type");
		this.rejection = Optional
			.of(new StoredResponse(exchange.responseHead().status(), type, exchange.responseBody()));
	}

	void resumeRefused() {
		this.resumeRefused = true;
	}

	boolean canResume() {
		return this.plan.endpointSet().resumable() && !this.resumeRefused && !this.resumeSource.isEmpty();
	}

	String resumeSource() {
		return this.resumeSource;
	}

	/**
	 * Return whether the request may be run from its start.
	 * @return whether the request may be repeated or can't have run yet
	 */
	boolean mayRun() {
		return this.claim.isEmpty() || this.runStateTracker.mayRetry();
	}

	/**
	 * Record the end of an attempt.
	 * @param attempt the attempt
	 * @param code the failure, {@link ResultCode#OK} if there was none
	 */
	void attemptEnded(EndpointAttempt attempt, ResultCode code) {
		this.attempts.remove(attempt.attemptId());
		this.telemetry.attemptEnded();
		if (this.forwardedAttempt == attempt) {
			this.forwardedAttempt = null;
		}
		if (code != ResultCode.OK) {
			this.lastFailure = code;
		}
	}

	boolean isWritable() {
		return this.responseWriter.isWritable();
	}

	void flush() {
		this.responseWriter.flush();
	}

	private void resumeReading() {
		List.copyOf(this.attempts.values()).forEach(EndpointAttempt::resumeReading);
	}

	private void callerGone() {
		this.responseWriter.callerGone();
		if (this.done || this.claim.isPresent()) {
			resumeReading();
			return;
		}
		this.context.dispatchLoop().callerGone(this.id);
		markDone();
		this.telemetry.failed(ResultCode.CALLER_GONE);
		removeUnlessClaimed();
	}

	/** Abort the request because the VM stops before it has ended. */
	void abortForShutdown() {
		if (!this.done) {
			this.context.dispatchLoop().callerGone(this.id);
			fail(ResultCode.DRAIN_LIMIT, Optional.empty());
		}
	}

	private void runPeriodicChecks() {
		if (this.responseWriter.blockedNanos() > MAX_BLOCKED_NANOS) {
			this.responseWriter.abort();
			return;
		}
		this.responseWriter.writeKeepAliveIfIdle(KEEP_ALIVE_IDLE_NANOS);
		if (this.submitted && this.context.dispatchLoop().now() > this.info.deadlineNanos() + DEADLINE_GRACE_NANOS) {
			// The dispatcher ends each request at its deadline. This check covers a
			// request that it lost by a fault, as no caller may be left without a
			// final response.
			this.context.dispatchLoop().callerGone(this.id);
			fail(ResultCode.DEADLINE_EXCEEDED, Optional.empty());
		}
	}

	private void markDone() {
		this.done = true;
		this.periodicCheck.cancel(false);
		new ArrayList<>(this.attempts.values()).forEach(EndpointAttempt::cancel);
	}

	private void removeUnlessClaimed() {
		if (this.claim.isEmpty() || !this.claim.get().isHeld()) {
			this.context.activeRequests().remove(this);
		}
	}

	/** Remove the request after its claim is completed. */
	void claimCompleted() {
		this.context.activeRequests().remove(this);
	}

}
