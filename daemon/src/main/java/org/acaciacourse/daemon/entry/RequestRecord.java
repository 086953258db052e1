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
 * What is written down of one request: metrics, spans and one line in the log. Prompts
 * and keys are not.
 * <p>
 * Not thread safe: belongs to the event loop of the caller.
 */
final class RequestRecord {

	private static final Logger logger = LogManager.getLogger("org.acaciacourse.requests");

	private final String requestId;

	private final RequestPlan plan;

	private final EntryMetrics.RequestMeter meter;

	private final Span span;

	private final long arrival = System.nanoTime();

	private final Span queue;

	private long firstToken;

	private long received;

	RequestRecord(String requestId, RequestPlan plan, EntryMetrics.RequestMeter meter, Traces traces, Span span) {
		this.requestId = requestId;
		this.plan = plan;
		this.meter = meter;
		this.span = span;
		this.queue = traces.child("queue", span);
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

	void attemptBegins() {
		this.queue.end();
		this.meter.attemptBegins();
	}

	void attemptEnds() {
		this.meter.attemptEnds();
	}

	void received(long tokens) {
		this.received += tokens;
	}

	void firstToken() {
		if (this.firstToken == 0) {
			this.firstToken = System.nanoTime();
			this.meter.firstToken(Duration.ofNanos(this.firstToken - this.arrival));
		}
	}

	void answered(long tokens) {
		long end = System.nanoTime();
		LatencyTarget target = this.plan.requestClass().target();
		long counted = (target.kind() == LatencyTarget.Kind.FIRST_TOKEN && this.firstToken != 0) ? this.firstToken
				: end;
		boolean met = counted - this.arrival <= target.limit().toNanos();
		this.meter.answered(Duration.ofNanos(end - this.arrival), met, tokens);
		this.meter.wasted(this.received - tokens);
		write(ResultCode.OK);
	}

	void replayed() {
		this.meter.answered(Duration.ofNanos(System.nanoTime() - this.arrival), true, 0);
		write(ResultCode.OK);
	}

	void failed(ResultCode code) {
		this.meter.failed(code);
		this.meter.wasted(this.received);
		write(code);
	}

	private void write(ResultCode code) {
		this.queue.end();
		this.span.setAttribute("code", code.number());
		this.span.end();
		try (CloseableThreadContext.Instance fields = CloseableThreadContext.put("request", this.requestId)
			.put("customer", this.plan.customer().name())
			.put("class", this.plan.requestClass().name())
			.put("trace", this.span.getSpanContext().getTraceId())
			.put("code", Integer.toString(code.number()))) {
			logger.info("ended after {} ms with {} tokens", (System.nanoTime() - this.arrival) / 1_000_000,
					this.received);
		}
	}

}
