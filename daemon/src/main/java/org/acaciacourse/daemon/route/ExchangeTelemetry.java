package org.acaciacourse.daemon.route;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.core.attempt.RequestProgress;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.route.Route;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * What is written down of one routed request: metrics, a line if it ends otherwise than
 * with a whole answer in time, and one for a sample of all answers.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class ExchangeTelemetry {

	/**
	 * A line for each answer would take more processor time than the answers; the ids are
	 * spread evenly, so that those told are a fair sample.
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

	// The request has an endpoint.
	void placed(long now) {
		this.placedAt = now;
		this.context.metrics().requestPlaced(this.request.route(), now - this.startedAt);
	}

	// The request is written to its endpoint, where so many tokens of prompts were
	// believed
	// to wait.
	void sent(String instance, int urgency, long tokensAhead, long now) {
		this.sentAt = now;
		this.sentTo = instance;
		this.sentUrgency = urgency;
		this.workAhead = tokensAhead;
	}

	// The request is sent once more, and so much of the budget is left then.
	void retried(String instance, double left) {
		PoolStates.Sharing sharing = this.context.pools().sharing();
		DecisionLog.write(LogEvent.RETRY, this.request.facts().id(), this.request.pool(), instance,
				Math.round(left * 100) / 100.0, sharing.vms(), sharing.countAge().toMillis(),
				sharing.uptime().toMillis());
		this.context.metrics().retried(this.request.pool());
	}

	// The first part of the answer is passed on.
	void responseStarted(long now) {
		this.responseStartedAt = now;
		this.context.metrics().responseStarted(this.request.route(), now - this.startedAt);
	}

	// An event is passed on.
	void eventForwarded(long now) {
		if (this.lastEventAt != 0) {
			this.longestGap = Math.max(this.longestGap, now - this.lastEventAt);
		}
		this.lastEventAt = now;
	}

	// The whole answer was passed on.
	void responseComplete(RequestProgress progress) {
		if (this.lastEventAt != 0) {
			this.context.metrics().longestGap(this.request.route(), this.longestGap);
		}
		this.context.metrics().requestEnded(this.request.route(), this.request.pool(), ResultCode.OK);
		if (isLate()) {
			logLate(progress);
		}
		if (Math.floorMod(this.request.idHash(), RESPONSES_PER_LINE) == 0) {
			DecisionLog.write(LogEvent.REQUEST_ANSWERED, this.request.facts().id(), this.request.route().name(),
					this.request.pool(), this.request.urgency(), this.context.pools().tableNumber(),
					millisUntil(this.placedAt), millisUntil(this.responseStartedAt), millisUntil(System.nanoTime()),
					progress.tried().size(), this.sentUrgency, this.workAhead);
		}
	}

	private boolean isLate() {
		Route route = this.request.route();
		boolean gap = !route.eventGap().isZero() && this.longestGap > route.eventGap().toNanos();
		return gap || this.responseStartedAt - this.startedAt > route.target().toNanos();
	}

	private void logLate(RequestProgress progress) {
		long now = System.nanoTime();
		OptionalLong suppressed = this.context.lateLogLimiter().next(now);
		if (suppressed.isPresent()) {
			Route route = this.request.route();
			DecisionLog.write(LogEvent.REQUEST_LATE, this.request.facts().id(), route.name(), this.request.pool(),
					this.request.urgency(), this.context.pools().tableNumber(), this.sentTo, millisUntil(this.placedAt),
					millisUntil(this.sentAt), millisUntil(this.responseStartedAt),
					TimeUnit.NANOSECONDS.toMillis(this.longestGap), millisUntil(now), progress.tried().size(),
					route.target().toMillis(), route.eventGap().toMillis(), suppressed.getAsLong(), this.sentUrgency,
					this.workAhead);
		}
	}

	/**
	 * The request ended otherwise.
	 * @param code the reason
	 * @param detail the reason in words
	 * @param progress the attempts
	 * @param retryAfter when the caller was told to come back
	 */
	void failed(ResultCode code, String detail, RequestProgress progress, Duration retryAfter) {
		long now = System.nanoTime();
		DecisionLog.write(LogEvent.REQUEST_FAILED, this.request.facts().id(), code.number(), detail,
				progress.runState().label(), this.request.route().name(), this.request.pool(),
				this.request.customer().orElse(null), this.request.urgency(), this.context.pools().tableNumber(),
				Long.toHexString(this.context.pools().fleet().revision()), millisUntil(this.placedAt), millisUntil(now),
				TimeUnit.NANOSECONDS.toMillis(this.deadlineAt - now), progress.tried().size(),
				(code.isRetryable()) ? retryAfter.toMillis() : null, this.sentUrgency, this.workAhead);
		this.context.metrics().requestEnded(this.request.route(), this.request.pool(), code);
	}

	private Long millisUntil(long at) {
		return (at != 0) ? TimeUnit.NANOSECONDS.toMillis(at - this.startedAt) : null;
	}

}
