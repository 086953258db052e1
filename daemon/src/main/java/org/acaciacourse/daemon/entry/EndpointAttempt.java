package org.acaciacourse.daemon.entry;

import java.net.URI;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.util.concurrent.ScheduledFuture;
import io.opentelemetry.api.trace.Span;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.AttemptOutcome;
import org.acaciacourse.core.dispatch.DispatchActions;
import org.acaciacourse.core.model.Endpoint;
import org.acaciacourse.daemon.endpoint.EndpointCall;
import org.acaciacourse.daemon.endpoint.RequestStatusClient;
import org.acaciacourse.daemon.telemetry.Traces;

/**
 * One attempt at one endpoint. It may consist of several exchanges: when a connection
 * breaks or stalls while the engine is still running, the attempt is resumed over a new
 * connection after the last forwarded token. Only a failure that can't be resumed is
 * reported to the dispatcher.
 * <p>
 * Not thread safe: belongs to the event loop of the caller.
 */
final class EndpointAttempt implements EndpointExchange.Owner {

	private static final int MAX_RESUMES = 3;

	private static final int MAX_STALLED_CHECKS = 3;

	private static final long RESTART_CHECK_NANOS = 1_500_000_000L;

	private static final long RESTART_CHECK_INTERVAL_MILLIS = 300;

	private final ActiveRequest request;

	private final EntryContext context;

	private final DispatchActions.Attempt attempt;

	private final Endpoint endpoint;

	private final Span span;

	private final AtomicInteger unreportedTokens = new AtomicInteger();

	private EndpointExchange exchange;

	private Span exchangeSpan;

	private ScheduledFuture<?> stallTimer;

	private long lastProgressAt;

	private long longestGap;

	private long lastReportedTokens = -1;

	private int stalledChecks;

	private int resumes;

	private int forwardedTokens;

	private OptionalLong engineStart = OptionalLong.empty();

	private boolean firstTokenReported;

	private boolean done;

	EndpointAttempt(ActiveRequest request, EntryContext context, DispatchActions.Attempt attempt, Endpoint endpoint) {
		this.request = request;
		this.context = context;
		this.attempt = attempt;
		this.endpoint = endpoint;
		this.span = context.traces().startChildSpan("attempt", request.span());
		this.span.setAttribute("endpoint", endpoint.name()).setAttribute("policy", attempt.policy());
	}

	long attemptId() {
		return this.attempt.id();
	}

	void start() {
		long forwarded = this.request.tokenSequence().forwardedTokens();
		if (forwarded == 0) {
			runFromStart();
		}
		else if (this.request.canResume()) {
			resume();
		}
		else {
			rerun();
		}
	}

	private void runFromStart() {
		if (!this.request.mayRun()) {
			end(AttemptOutcome.REJECTED, ResultCode.RETRIES_EXHAUSTED);
			return;
		}
		// The status of a request can't be queried at a service that is not a model
		// engine, so a reused connection that stalls would block the call until its
		// deadline. A request that runs at most once must not use a reused connection
		// at all: the connection may be dead, and then it is unknown whether the
		// request ran.
		boolean freshConnection = !this.request.plan().isModel() || this.request.plan().claim().isPresent();
		sendRequest(Map.of(), 0, freshConnection);
	}

	private void rerun() {
		if (this.request.plan().endpointSet().deterministic()) {
			runFromStart();
		}
		else {
			end(AttemptOutcome.REJECTED, ResultCode.ANSWER_TRUNCATED);
		}
	}

	private void resume() {
		long forwarded = this.request.tokenSequence().forwardedTokens();
		Map<String, String> headers = Map.of("x-resume-of", this.request.resumeSource(), "x-resume-from",
				Long.toString(forwarded));
		sendRequest(headers, forwarded, true);
	}

	private void sendRequest(Map<String, String> extraHeaders, long firstTokenIndex, boolean freshConnection) {
		RequestPlan plan = this.request.plan();
		long number = this.request.nextExchangeNumber();
		String exchangeId = this.request.requestId() + "." + number;
		this.exchange = new EndpointExchange(this, plan, number, exchangeId, firstTokenIndex, this.request.executor());
		this.exchangeSpan = this.context.traces().startChildSpan("endpoint", this.span);
		Map<String, String> headers = new TreeMap<>(plan.outboundRequest().headers());
		headers.put("x-request-id", exchangeId);
		headers.put("x-priority", Integer.toString(this.attempt.enginePriority()));
		if (plan.content().prefixHash() != 0) {
			headers.put("x-prefix", Long.toHexString(plan.content().prefixHash()));
		}
		String traceparent = Traces.traceparent(this.exchangeSpan);
		if (!traceparent.isEmpty()) {
			headers.put("traceparent", traceparent);
		}
		headers.putAll(extraHeaders);
		this.request.runStateTracker().attemptStarted(number);
		this.engineStart = this.context.engineStarts().get(baseUrl());
		this.lastProgressAt = System.nanoTime();
		startStallTimer();
		this.context.client()
			.send(new EndpointCall.Request(plan.outboundRequest().method(), baseUrl() + plan.outboundRequest().target(),
					headers, plan.outboundRequest().body(), freshConnection), this.exchange.call());
	}

	private String baseUrl() {
		URI address = this.endpoint.address();
		return "http://" + address.getAuthority();
	}

	/** Cancel the attempt at its endpoint. */
	void cancel() {
		if (this.done) {
			return;
		}
		boolean sent = closeExchange();
		if (sent && this.request.plan().isModel()) {
			RequestStatusClient.cancel(this.context.client(), baseUrl(), this.exchange.exchangeId());
		}
		end(AttemptOutcome.CANCELLED, ResultCode.OK);
	}

	private boolean closeExchange() {
		boolean sent = this.exchange.close();
		if (sent) {
			this.request.runStateTracker().beforeSend(this.exchange.number());
			this.request.setResumeSource(this.exchange);
		}
		return sent;
	}

	/** Resume reading when the caller is writable again. */
	void resumeReading() {
		if (!this.done && this.exchange != null) {
			this.lastProgressAt = System.nanoTime();
			this.exchange.resumeReading();
		}
	}

	@Override
	public void paused() {
		this.context.metrics().readPaused();
	}

	@Override
	public boolean isWritable() {
		return this.request.isWritable();
	}

	@Override
	public boolean acceptToken(EndpointExchange source, long index, EndpointExchange.EventData eventData) {
		if (this.done || source != this.exchange) {
			return true;
		}
		return switch (this.request.acceptToken(this, source, index, eventData)) {
			case FORWARD -> {
				this.forwardedTokens++;
				yield true;
			}
			case SKIP, DISCARD -> true;
			case GAP -> false;
		};
	}

	@Override
	public void progress(EndpointExchange source) {
		if (this.done || source != this.exchange) {
			return;
		}
		long now = System.nanoTime();
		if (source.tokenCount() > 1) {
			this.longestGap = Math.max(this.longestGap, now - this.lastProgressAt);
		}
		this.lastProgressAt = now;
		this.stalledChecks = 0;
		this.request.flush();
		reportTokens();
	}

	private void reportTokens() {
		int count = this.forwardedTokens;
		this.forwardedTokens = 0;
		if (count == 0 || this.unreportedTokens.getAndAdd(count) != 0) {
			return;
		}
		long id = this.attempt.id();
		DispatchEvent event = (d, now) -> d.tokensReceived(id, this.unreportedTokens.getAndSet(0), now);
		if (this.firstTokenReported) {
			this.context.dispatchLoop().submitWithoutWakeup(event);
		}
		else {
			this.firstTokenReported = true;
			this.context.dispatchLoop().submit(event);
		}
	}

	@Override
	public void exchangeEnded(EndpointExchange source, EndpointExchange.Outcome outcome) {
		if (this.done || source != this.exchange) {
			return;
		}
		this.request.recordExchangeEnd(source, outcome);
		this.request.flush();
		reportTokens();
		switch (outcome) {
			case COMPLETE -> complete();
			case REFUSED -> end(AttemptOutcome.REFUSED, ResultCode.NO_ENDPOINT);
			case NOT_SENT -> end(AttemptOutcome.NOT_SENT, ResultCode.NO_ENDPOINT);
			case CANNOT_RESUME -> {
				this.request.resumeRefused();
				rerun();
			}
			case REJECTED -> {
				this.request.storeRejection(source);
				end(AttemptOutcome.REJECTED, ResultCode.ENDPOINT_ERROR);
			}
			case ERROR -> end(AttemptOutcome.LOST, ResultCode.ENDPOINT_ERROR);
			case MISMATCH -> {
				this.context.metrics().responseDiscarded();
				handleBroken(ResultCode.ANSWER_MISMATCH);
			}
			case BROKEN -> handleBroken(ResultCode.ENDPOINT_LOST);
		}
	}

	private void complete() {
		if (this.longestGap > 0) {
			this.context.stallTimeouts().recordLongestGap(this.request.plan().endpointSet().name(), this.longestGap);
		}
		EndpointExchange completed = this.exchange;
		if (!completed.isStream()) {
			this.forwardedTokens = (int) completed.tokenCount();
			reportTokens();
		}
		// The connection is reused only if the response is read to its end. An endpoint
		// that never ends the response must not occupy the connection forever.
		this.request.executor().schedule(completed::close, 1, TimeUnit.SECONDS);
		if (this.request.acceptResponse(this, completed)) {
			end(AttemptOutcome.COMPLETE, ResultCode.OK);
		}
		else {
			end(AttemptOutcome.CANCELLED, ResultCode.OK);
		}
	}

	private void handleBroken(ResultCode code) {
		queryStatus((reply) -> {
			if (!this.request.plan().isModel() && reply.kind() != RequestStatusClient.Kind.DOWN) {
				end(AttemptOutcome.LOST, code);
				return;
			}
			switch (reply.kind()) {
				case DOWN -> end(AttemptOutcome.CRASHED, code);
				case QUEUED, RUNNING, FINISHED, CANCELLED -> resumeOrEnd(AttemptOutcome.LOST, code);
				case UNKNOWN -> handleUnknown(code);
				case NO_RESPONSE -> checkRestarted(code, System.nanoTime() + RESTART_CHECK_NANOS);
				default -> end(AttemptOutcome.LOST, code);
			}
		});
	}

	private void handleUnknown(ResultCode code) {
		if (this.exchange.tokenCount() > 0) {
			end(AttemptOutcome.CRASHED, code);
		}
		else {
			checkRestarted(code, System.nanoTime() + RESTART_CHECK_NANOS);
		}
	}

	// The engine does not know the request or does not respond. Either it crashed and has
	// restarted already, or the connection broke before the request was read. A crash
	// must be reported as one, as otherwise the content that caused it would be sent to
	// one engine after another. An engine that does not respond yet is queried again, as
	// it may be restarting.
	private void checkRestarted(ResultCode code, long retryUntil) {
		RequestStatusClient.queryStartTime(this.context.client(), baseUrl()).whenCompleteAsync((started, failure) -> {
			if (started.isEmpty() && this.engineStart.isPresent() && System.nanoTime() < retryUntil) {
				this.request.executor()
					.schedule(() -> checkRestarted(code, retryUntil), RESTART_CHECK_INTERVAL_MILLIS,
							TimeUnit.MILLISECONDS);
				return;
			}
			boolean restarted = this.engineStart.isPresent() && !started.equals(this.engineStart);
			end((restarted) ? AttemptOutcome.CRASHED : AttemptOutcome.LOST, code);
		}, this.request.executor());
	}

	private void resumeOrEnd(AttemptOutcome fallbackOutcome, ResultCode code) {
		if (this.resumes < MAX_RESUMES && this.request.canResume()) {
			this.resumes++;
			this.exchangeSpan.end();
			resume();
		}
		else {
			RequestStatusClient.cancel(this.context.client(), baseUrl(), this.exchange.exchangeId());
			end(fallbackOutcome, code);
		}
	}

	private void queryStatus(java.util.function.Consumer<RequestStatusClient.RequestStatus> action) {
		EndpointExchange queried = this.exchange;
		RequestStatusClient.queryStatus(this.context.client(), baseUrl(), queried.exchangeId())
			.whenCompleteAsync((reply, failure) -> {
				if (!this.done && queried == this.exchange) {
					action.accept(reply);
				}
			}, this.request.executor());
	}

	private void startStallTimer() {
		if (this.stallTimer != null) {
			this.stallTimer.cancel(false);
		}
		scheduleStallCheck(this.context.stallTimeouts().timeoutNanos(this.request.plan().endpointSet().name()));
	}

	private void scheduleStallCheck(long nanos) {
		if (this.request.plan().isModel()) {
			this.stallTimer = this.request.executor().schedule(this::checkProgress, nanos, TimeUnit.NANOSECONDS);
		}
	}

	private void checkProgress() {
		if (this.done) {
			return;
		}
		long timeout = this.context.stallTimeouts().timeoutNanos(this.request.plan().endpointSet().name());
		long idle = System.nanoTime() - this.lastProgressAt;
		if (idle < timeout || !isWritable()) {
			scheduleStallCheck(Math.max(timeout - idle, timeout / 4));
			return;
		}
		long before = this.lastProgressAt;
		queryStatus((reply) -> {
			if (this.lastProgressAt == before) {
				handleStall(reply);
			}
			else {
				startStallTimer();
			}
		});
	}

	private void handleStall(RequestStatusClient.RequestStatus reply) {
		switch (reply.kind()) {
			case DOWN -> giveUp(AttemptOutcome.CRASHED);
			case NO_RESPONSE -> giveUp(AttemptOutcome.SILENT);
			case UNKNOWN, CANCELLED -> giveUp(AttemptOutcome.LOST);
			case QUEUED, NOT_REPORTED -> keepWaiting();
			case FINISHED -> reconnect();
			case RUNNING -> handleRunning(reply.tokens());
		}
	}

	private void handleRunning(long tokens) {
		boolean ahead = this.request.plan().outboundRequest().stream() && tokens > this.exchange.nextTokenIndex();
		boolean progressed = tokens > this.lastReportedTokens;
		this.lastReportedTokens = tokens;
		if (ahead) {
			reconnect();
		}
		else if (!progressed && ++this.stalledChecks >= MAX_STALLED_CHECKS) {
			giveUp(AttemptOutcome.SILENT);
		}
		else {
			keepWaiting();
		}
	}

	private void keepWaiting() {
		this.lastProgressAt = System.nanoTime();
		startStallTimer();
	}

	private void reconnect() {
		closeExchange();
		resumeOrEnd(AttemptOutcome.SILENT, ResultCode.ENDPOINT_TIMEOUT);
	}

	private void giveUp(AttemptOutcome outcome) {
		closeExchange();
		end(outcome, ResultCode.ENDPOINT_TIMEOUT);
	}

	private void end(AttemptOutcome outcome, ResultCode code) {
		if (this.done) {
			return;
		}
		this.done = true;
		if (this.stallTimer != null) {
			this.stallTimer.cancel(false);
		}
		if (this.exchangeSpan != null) {
			this.exchangeSpan.end();
		}
		this.span.setAttribute("outcome", outcome.name()).end();
		this.request.attemptEnded(this, code);
		this.context.dispatchLoop().attemptEnded(this.request.id(), this.attempt.id(), outcome);
	}

}
