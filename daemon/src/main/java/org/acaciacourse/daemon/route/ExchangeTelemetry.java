package org.acaciacourse.daemon.route;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.core.attempt.RequestProgress;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.core.route.Route;
import org.acaciacourse.core.stream.StreamOrigin;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * Metrics and log lines of one routed request: a line if it fails or its response is
 * late, and one for a sample of all complete responses.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class ExchangeTelemetry {

	/**
	 * One line per response would take more processor time than the responses. The hashes
	 * of the request ids are spread evenly, so that the logged responses are a fair
	 * sample.
	 */
	private static final int RESPONSES_PER_LINE = 200;

	private final RouteContext context;

	private final RoutedRequest request;

	private final long startedAt;

	private final long deadlineAt;

	private long placedAt;

	private long sentAt;

	private String sentTo;

	private Integer sentUrgency;

	private Long workAhead;

	private long responseStartedAt;

	private long lastEventAt;

	private long longestGap;

	ExchangeTelemetry(RouteContext context, RoutedRequest request, long startedAt, long deadlineAt) {
		this.context = context;
		this.request = request;
		this.startedAt = startedAt;
		this.deadlineAt = deadlineAt;
	}

	// The request was assigned to an endpoint.
	void placed(long now) {
		this.placedAt = now;
		this.context.metrics().requestPlaced(this.request.route(), now - this.startedAt);
	}

	// The request is written to its endpoint, where an estimated number of prompt tokens
	// was waiting.
	void sent(String instance, int urgency, long tokensAhead, long now) {
		this.sentAt = now;
		this.sentTo = instance;
		this.sentUrgency = urgency;
		this.workAhead = tokensAhead;
	}

	// The request is sent again; "left" is the rest of the retry budget after that.
	void retried(String instance, double left) {
		RetrySharing sharing = this.context.pools().sharing();
		DecisionLog.write(LogEvent.RETRY, this.request.metadata().id(), this.request.pool(), instance,
				Math.round(left * 100) / 100.0, sharing.vms(), sharing.countAge().toMillis(),
				sharing.uptime().toMillis(), millisUntil(System.nanoTime()));
		this.context.metrics().retried(this.request.pool());
	}

	/**
	 * A stream of which the caller has a part is sent on.
	 * @param endpoint the endpoint that is to go on with it
	 * @param origin where it began, if that is known
	 * @param lastEvent the last event that the caller has
	 */
	void resumed(FleetEndpoint endpoint, Optional<StreamOrigin> origin, long lastEvent) {
		Optional<String> began = origin.flatMap(StreamOrigin::version);
		DecisionLog.write(LogEvent.STREAM_RESUMED, this.request.metadata().id(),
				this.request.metadata().resumedRequest().orElse(null), lastEvent, this.request.pool(),
				endpoint.instance(), endpoint.version().orElse(null), began.orElse(null));
		boolean known = began.isPresent() && endpoint.version().isPresent();
		this.context.metrics()
			.streamResumed((!known) ? "unknown" : (began.equals(endpoint.version())) ? "same" : "other");
	}

	// The first part of the response is forwarded.
	void responseStarted(long now) {
		this.responseStartedAt = now;
		this.context.metrics().responseStarted(this.request.route(), now - this.startedAt);
	}

	// An event is forwarded.
	void eventForwarded(long now) {
		if (this.lastEventAt != 0) {
			this.longestGap = Math.max(this.longestGap, now - this.lastEventAt);
		}
		this.lastEventAt = now;
	}

	// The complete response was forwarded.
	void responseComplete(RequestProgress progress) {
		if (this.lastEventAt != 0) {
			this.context.metrics().longestGap(this.request.route(), this.longestGap);
		}
		this.context.metrics().requestEnded(this.request.route(), this.request.pool(), ResultCode.OK);
		if (isLate()) {
			logLate(progress);
		}
		if (Math.floorMod(this.request.idHash(), RESPONSES_PER_LINE) == 0) {
			DecisionLog.write(LogEvent.REQUEST_ANSWERED, this.request.metadata().id(), this.request.route().name(),
					this.request.pool(), this.request.urgency(), this.context.pools().tableNumber(),
					millisUntil(this.placedAt), millisUntil(this.responseStartedAt), millisUntil(System.nanoTime()),
					progress.triedInstances().size(), this.sentUrgency, this.workAhead);
		}
	}

	private boolean isLate() {
		Route route = this.request.route();
		boolean gap = !route.eventGap().isZero() && this.longestGap > route.eventGap().toNanos();
		return gap || this.responseStartedAt - this.startedAt > route.target().toNanos();
	}

	private void logLate(RequestProgress progress) {
		long now = System.nanoTime();
		OptionalLong suppressed = this.context.logLimits().late().tryAcquire(now);
		if (suppressed.isPresent()) {
			Route route = this.request.route();
			DecisionLog.write(LogEvent.REQUEST_LATE, this.request.metadata().id(), route.name(), this.request.pool(),
					this.request.urgency(), this.context.pools().tableNumber(), this.sentTo, millisUntil(this.placedAt),
					millisUntil(this.sentAt), millisUntil(this.responseStartedAt),
					TimeUnit.NANOSECONDS.toMillis(this.longestGap), millisUntil(now), progress.triedInstances().size(),
					route.target().toMillis(), route.eventGap().toMillis(), suppressed.getAsLong(), this.sentUrgency,
					this.workAhead);
		}
	}

	/**
	 * The request ended without a successful response.
	 * @param code the reason
	 * @param detail the reason in words
	 * @param progress the attempts
	 * @param retryAfter the delay after which the caller was asked to retry
	 */
	void failed(ResultCode code, String detail, RequestProgress progress, Duration retryAfter) {
		long now = System.nanoTime();
		DecisionLog.write(LogEvent.REQUEST_FAILED, this.request.metadata().id(), code.number(), detail,
				progress.runState().label(), this.request.route().name(), this.request.pool(),
				this.request.customer().orElse(null), this.request.urgency(), this.context.pools().tableNumber(),
				Long.toHexString(this.context.pools().fleet().revision()), millisUntil(this.placedAt), millisUntil(now),
				TimeUnit.NANOSECONDS.toMillis(this.deadlineAt - now), progress.triedInstances().size(),
				(code.isRetryable()) ? retryAfter.toMillis() : null, this.sentUrgency, this.workAhead);
		this.context.metrics().requestEnded(this.request.route(), this.request.pool(), code);
	}

	private Long millisUntil(long at) {
		return (at != 0) ? TimeUnit.NANOSECONDS.toMillis(at - this.startedAt) : null;
	}

}
