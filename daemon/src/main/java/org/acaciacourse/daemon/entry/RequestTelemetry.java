package org.acaciacourse.daemon.entry;

import java.time.Duration;

import io.opentelemetry.api.trace.Span;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.model.LatencyTarget;
import org.acaciacourse.daemon.telemetry.EntryMetrics;
import org.acaciacourse.daemon.telemetry.Traces;
import org.apache.logging.log4j.CloseableThreadContext;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The metrics, spans and the log line of one request. Prompts and keys are not recorded.
 * <p>
 * Not thread safe: belongs to the event loop of the caller.
 */
final class RequestTelemetry {

	private static final Logger logger = LogManager.getLogger("org.acaciacourse.requests");

	private final String requestId;

	private final RequestPlan plan;

	private final EntryMetrics.RequestMeter meter;

	private final Span span;

	private final long arrivedAt = System.nanoTime();

	private final Span queueSpan;

	private long firstTokenAt;

	private long receivedTokens;

	RequestTelemetry(String requestId, RequestPlan plan, EntryMetrics.RequestMeter meter, Traces traces, Span span) {
		this.requestId = requestId;
		this.plan = plan;
		this.meter = meter;
		this.span = span;
		this.queueSpan = traces.startChildSpan("queue", span);
		span.setAttribute("request", requestId);
		span.setAttribute("customer", plan.customer().name());
		span.setAttribute("class", plan.requestClass().name());
	}

	String requestId() {
		return this.requestId;
	}

	Span span() {
		return this.span;
	}

	void attemptStarted() {
		this.queueSpan.end();
		this.meter.attemptStarted();
	}

	void attemptEnded() {
		this.meter.attemptEnded();
	}

	void tokensReceived(long tokens) {
		this.receivedTokens += tokens;
	}

	void firstTokenForwarded() {
		if (this.firstTokenAt == 0) {
			this.firstTokenAt = System.nanoTime();
			this.meter.firstTokenForwarded(Duration.ofNanos(this.firstTokenAt - this.arrivedAt));
		}
	}

	void completed(long tokens) {
		long end = System.nanoTime();
		LatencyTarget target = this.plan.requestClass().target();
		long measuredAt = (target.kind() == LatencyTarget.Kind.FIRST_TOKEN && this.firstTokenAt != 0)
				? this.firstTokenAt : end;
		boolean targetMet = measuredAt - this.arrivedAt <= target.limit().toNanos();
		this.meter.responseCompleted(Duration.ofNanos(end - this.arrivedAt), targetMet, tokens);
		this.meter.tokensWasted(this.receivedTokens - tokens);
		finish(ResultCode.OK);
	}

	void replayed() {
		this.meter.responseCompleted(Duration.ofNanos(System.nanoTime() - this.arrivedAt), true, 0);
		finish(ResultCode.OK);
	}

	void failed(ResultCode code) {
		this.meter.requestFailed(code);
		this.meter.tokensWasted(this.receivedTokens);
		finish(code);
	}

	private void finish(ResultCode code) {
		this.queueSpan.end();
		this.span.setAttribute("code", code.number());
		this.span.end();
		try (CloseableThreadContext.Instance fields = CloseableThreadContext.put("request", this.requestId)
			.put("customer", this.plan.customer().name())
			.put("class", this.plan.requestClass().name())
			.put("trace", this.span.getSpanContext().getTraceId())
			.put("code", Integer.toString(code.number()))) {
			logger.info("request ended after {} ms, {} tokens received",
					(System.nanoTime() - this.arrivedAt) / 1_000_000, this.receivedTokens);
		}
	}

}
