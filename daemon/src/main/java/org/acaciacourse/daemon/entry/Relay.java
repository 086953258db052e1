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
import org.acaciacourse.daemon.endpoint.RunQuestion;
import org.acaciacourse.daemon.telemetry.Traces;

/**
 * One attempt at one endpoint. It may take several exchanges: when a connection breaks or
 * goes silent while its engine lives, the attempt goes on over a fresh connection from
 * the last token passed on. The dispatcher hears only of an end that this can't mend.
 * <p>
 * Not thread safe: belongs to the event loop of the caller.
 */
final class Relay implements Leg.Owner {

	private static final int MAX_REPAIRS = 3;

	private static final int MAX_STALE = 3;

	private static final long ASK_NANOS = 1_500_000_000L;

	private static final long ASK_AGAIN_MILLIS = 300;

	private final Exchange exchange;

	private final EntryContext context;

	private final DispatchActions.Attempt attempt;

	private final Endpoint endpoint;

	private final Span span;

	private final AtomicInteger untold = new AtomicInteger();

	private Leg leg;

	private Span legSpan;

	private ScheduledFuture<?> timer;

	private long lastProgress;

	private long longestGap;

	private long askedTokens = -1;

	private int stale;

	private int repairs;

	private int passed;

	private OptionalLong startAtBegin = OptionalLong.empty();

	private boolean toldFirst;

	private boolean done;

	Relay(Exchange exchange, EntryContext context, DispatchActions.Attempt attempt, Endpoint endpoint) {
		this.exchange = exchange;
		this.context = context;
		this.attempt = attempt;
		this.endpoint = endpoint;
		this.span = context.traces().child("attempt", exchange.span());
		this.span.setAttribute("endpoint", endpoint.name()).setAttribute("policy", attempt.policy());
	}

	long attemptId() {
		return this.attempt.id();
	}

	void start() {
		long from = this.exchange.sequence().passedOn();
		if (from == 0) {
			run();
		}
		else if (this.exchange.canResume()) {
			resume();
		}
		else {
			rerun();
		}
	}

	private void run() {
		if (!this.exchange.mayRun()) {
			end(AttemptOutcome.REJECTED, ResultCode.RETRIES_EXHAUSTED);
			return;
		}
		// A plain service can't be asked about a request, so that a kept connection
		// that went silent would hold a call until its deadline; a marked call may not
		// risk one at all.
		boolean own = !this.exchange.plan().isModel() || this.exchange.plan().claim().isPresent();
		open(Map.of(), 0, own);
	}

	private void rerun() {
		if (this.exchange.plan().endpointSet().deterministic()) {
			run();
		}
		else {
			end(AttemptOutcome.REJECTED, ResultCode.ANSWER_TRUNCATED);
		}
	}

	private void resume() {
		long from = this.exchange.sequence().passedOn();
		Map<String, String> headers = Map.of("x-resume-of", this.exchange.resumeSource(), "x-resume-from",
				Long.toString(from));
		open(headers, from, true);
	}

	private void open(Map<String, String> extra, long firstIndex, boolean fresh) {
		RequestPlan plan = this.exchange.plan();
		long number = this.exchange.nextLeg();
		String wireId = this.exchange.requestId() + "." + number;
		this.leg = new Leg(this, plan, number, wireId, firstIndex, this.exchange.executor());
		this.legSpan = this.context.traces().child("endpoint", this.span);
		Map<String, String> headers = new TreeMap<>(plan.call().headers());
		headers.put("x-request-id", wireId);
		headers.put("x-priority", Integer.toString(this.attempt.enginePriority()));
		if (plan.content().prefixHash() != 0) {
			headers.put("x-prefix", Long.toHexString(plan.content().prefixHash()));
		}
		String traceparent = Traces.traceparent(this.legSpan);
		if (!traceparent.isEmpty()) {
			headers.put("traceparent", traceparent);
		}
		headers.putAll(extra);
		this.exchange.ledger().begin(number);
		this.startAtBegin = this.context.starts().of(base());
		this.lastProgress = System.nanoTime();
		watch();
		this.context.client()
			.send(new EndpointCall.Request(plan.call().method(), base() + plan.call().target(), headers,
					plan.call().body(), fresh), this.leg.call());
	}

	private String base() {
		URI address = this.endpoint.address();
		return "http://" + address.getAuthority();
	}

	/** Cancel the attempt at its endpoint. */
	void cancel() {
		if (this.done) {
			return;
		}
		boolean sent = closeLeg();
		if (sent && this.exchange.plan().isModel()) {
			RunQuestion.cancel(this.context.client(), base(), this.leg.wireId());
		}
		end(AttemptOutcome.CANCELLED, ResultCode.OK);
	}

	private boolean closeLeg() {
		boolean sent = this.leg.close();
		if (sent) {
			this.exchange.ledger().mayReach(this.leg.number());
			this.exchange.broken(this.leg);
		}
		return sent;
	}

	/** Go on once the caller takes data again. */
	void pump() {
		if (!this.done && this.leg != null) {
			this.lastProgress = System.nanoTime();
			this.leg.pump();
		}
	}

	@Override
	public void paused() {
		this.context.metrics().readPaused();
	}

	@Override
	public boolean isWritable() {
		return this.exchange.isWritable();
	}

	@Override
	public boolean token(Leg from, long index, Leg.Data data) {
		if (this.done || from != this.leg) {
			return true;
		}
		return switch (this.exchange.token(this, from, index, data)) {
			case PASS -> {
				this.passed++;
				yield true;
			}
			case SKIP, FOREIGN -> true;
			case GAP -> false;
		};
	}

	@Override
	public void progress(Leg from) {
		if (this.done || from != this.leg) {
			return;
		}
		long now = System.nanoTime();
		if (from.tokens() > 1) {
			this.longestGap = Math.max(this.longestGap, now - this.lastProgress);
		}
		this.lastProgress = now;
		this.stale = 0;
		this.exchange.flush();
		tell();
	}

	private void tell() {
		int count = this.passed;
		this.passed = 0;
		if (count == 0 || this.untold.getAndAdd(count) != 0) {
			return;
		}
		long id = this.attempt.id();
		DecisionEvent event = (d, now) -> d.tokens(id, this.untold.getAndSet(0), now);
		if (this.toldFirst) {
			this.context.loop().submitQuietly(event);
		}
		else {
			this.toldFirst = true;
			this.context.loop().submit(event);
		}
	}

	@Override
	public void ended(Leg from, Leg.End end) {
		if (this.done || from != this.leg) {
			return;
		}
		this.exchange.note(from, end);
		this.exchange.flush();
		tell();
		switch (end) {
			case WHOLE -> whole();
			case REFUSED -> end(AttemptOutcome.REFUSED, ResultCode.NO_ENDPOINT);
			case NOT_SENT -> end(AttemptOutcome.NOT_SENT, ResultCode.NO_ENDPOINT);
			case CANNOT_RESUME -> {
				this.exchange.resumeRefused();
				rerun();
			}
			case REJECTED -> {
				this.exchange.rejected(from);
				end(AttemptOutcome.REJECTED, ResultCode.ENDPOINT_ERROR);
			}
			case ERROR -> end(AttemptOutcome.LOST, ResultCode.ENDPOINT_ERROR);
			case MISMATCH -> {
				this.context.metrics().answerDiscarded();
				broken(ResultCode.ANSWER_MISMATCH);
			}
			case BROKEN -> broken(ResultCode.ENDPOINT_LOST);
		}
	}

	private void whole() {
		if (this.longestGap > 0) {
			this.context.silence().learn(this.exchange.plan().endpointSet().name(), this.longestGap);
		}
		Leg complete = this.leg;
		if (!complete.isStream()) {
			this.passed = (int) complete.tokens();
			tell();
		}
		// The connection is reused only if the answer is read to its end; an endpoint
		// that never ends it must not hold the connection for good.
		this.exchange.executor().schedule(complete::close, 1, TimeUnit.SECONDS);
		if (this.exchange.whole(this, complete)) {
			end(AttemptOutcome.COMPLETE, ResultCode.OK);
		}
		else {
			end(AttemptOutcome.CANCELLED, ResultCode.OK);
		}
	}

	private void broken(ResultCode code) {
		ask((reply) -> {
			if (!this.exchange.plan().isModel() && reply.kind() != RunQuestion.Kind.DOWN) {
				end(AttemptOutcome.LOST, code);
				return;
			}
			switch (reply.kind()) {
				case DOWN -> end(AttemptOutcome.CRASHED, code);
				case QUEUED, RUNNING, FINISHED, CANCELLED -> repair(AttemptOutcome.LOST, code);
				case UNKNOWN -> forgotten(code);
				case NO_ANSWER -> lostOrCrashed(code, System.nanoTime() + ASK_NANOS);
				default -> end(AttemptOutcome.LOST, code);
			}
		});
	}

	private void forgotten(ResultCode code) {
		if (this.leg.tokens() > 0) {
			end(AttemptOutcome.CRASHED, code);
		}
		else {
			lostOrCrashed(code, System.nanoTime() + ASK_NANOS);
		}
	}

	// The engine does not know the request or does not answer. Either it crashed and is
	// back already, or the connection broke before the request was read. A crash must
	// be told as one: else the content that caused it would go on to the next engine,
	// and the next. An engine that does not answer yet is asked again, as it may be on
	// its way back.
	private void lostOrCrashed(ResultCode code, long until) {
		RunQuestion.started(this.context.client(), base()).whenCompleteAsync((started, failure) -> {
			if (started.isEmpty() && this.startAtBegin.isPresent() && System.nanoTime() < until) {
				this.exchange.executor()
					.schedule(() -> lostOrCrashed(code, until), ASK_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
				return;
			}
			boolean restarted = this.startAtBegin.isPresent() && !started.equals(this.startAtBegin);
			end((restarted) ? AttemptOutcome.CRASHED : AttemptOutcome.LOST, code);
		}, this.exchange.executor());
	}

	private void repair(AttemptOutcome otherwise, ResultCode code) {
		if (this.repairs < MAX_REPAIRS && this.exchange.canResume()) {
			this.repairs++;
			this.legSpan.end();
			resume();
		}
		else {
			RunQuestion.cancel(this.context.client(), base(), this.leg.wireId());
			end(otherwise, code);
		}
	}

	private void ask(java.util.function.Consumer<RunQuestion.Reply> action) {
		Leg asked = this.leg;
		RunQuestion.ask(this.context.client(), base(), asked.wireId()).whenCompleteAsync((reply, failure) -> {
			if (!this.done && asked == this.leg) {
				action.accept(reply);
			}
		}, this.exchange.executor());
	}

	private void watch() {
		if (this.timer != null) {
			this.timer.cancel(false);
		}
		watchFor(this.context.silence().bound(this.exchange.plan().endpointSet().name()));
	}

	private void watchFor(long nanos) {
		if (this.exchange.plan().isModel()) {
			this.timer = this.exchange.executor().schedule(this::checkProgress, nanos, TimeUnit.NANOSECONDS);
		}
	}

	private void checkProgress() {
		if (this.done) {
			return;
		}
		long bound = this.context.silence().bound(this.exchange.plan().endpointSet().name());
		long idle = System.nanoTime() - this.lastProgress;
		if (idle < bound || !isWritable()) {
			watchFor(Math.max(bound - idle, bound / 4));
			return;
		}
		long before = this.lastProgress;
		ask((reply) -> {
			if (this.lastProgress == before) {
				silent(reply);
			}
			else {
				watch();
			}
		});
	}

	private void silent(RunQuestion.Reply reply) {
		switch (reply.kind()) {
			case DOWN -> giveUp(AttemptOutcome.CRASHED);
			case NO_ANSWER -> giveUp(AttemptOutcome.SILENT);
			case UNKNOWN, CANCELLED -> giveUp(AttemptOutcome.LOST);
			case QUEUED, NOT_TOLD -> waitOn();
			case FINISHED -> reconnect();
			case RUNNING -> running(reply.tokens());
		}
	}

	private void running(long tokens) {
		boolean ahead = this.exchange.plan().call().stream() && tokens > this.leg.nextIndex();
		boolean grows = tokens > this.askedTokens;
		this.askedTokens = tokens;
		if (ahead) {
			reconnect();
		}
		else if (!grows && ++this.stale >= MAX_STALE) {
			giveUp(AttemptOutcome.SILENT);
		}
		else {
			waitOn();
		}
	}

	private void waitOn() {
		this.lastProgress = System.nanoTime();
		watch();
	}

	private void reconnect() {
		closeLeg();
		repair(AttemptOutcome.SILENT, ResultCode.ENDPOINT_TIMEOUT);
	}

	private void giveUp(AttemptOutcome outcome) {
		closeLeg();
		end(outcome, ResultCode.ENDPOINT_TIMEOUT);
	}

	private void end(AttemptOutcome outcome, ResultCode code) {
		if (this.done) {
			return;
		}
		this.done = true;
		if (this.timer != null) {
			this.timer.cancel(false);
		}
		if (this.legSpan != null) {
			this.legSpan.end();
		}
		this.span.setAttribute("outcome", outcome.name()).end();
		this.exchange.relayEnded(this, code);
		this.context.loop().ended(this.exchange.id(), this.attempt.id(), outcome);
	}

}
