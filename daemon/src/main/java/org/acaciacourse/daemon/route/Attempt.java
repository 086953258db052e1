package org.acaciacourse.daemon.route;

import java.io.ByteArrayOutputStream;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import org.acaciacourse.core.attempt.AttemptEnd;
import org.acaciacourse.core.balance.Outcome;
import org.acaciacourse.core.balance.PlacedRequest;
import org.acaciacourse.core.balance.RoutingMechanism;
import org.acaciacourse.core.balance.RoutingParameter;
import org.acaciacourse.core.balance.RoutingPolicy;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.core.route.RequestKind;
import org.acaciacourse.core.route.Route;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * One attempt of a routed request at one endpoint. Judges what comes back: an answer
 * counts only under the request's id, with the endpoint's seal, and to its end.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class Attempt implements EndpointLink.Listener {

	/** The largest body that is collected; streams are passed on as they come. */
	private static final int MAX_BODY = 32 * 1024 * 1024;

	/**
	 * A service that took twice its target is slow or lost; its slowest calls take less.
	 */
	private static final int SILENT_TARGETS = 2;

	/**
	 * Prompts are read at some 60 tokens in a millisecond; half of that in a full batch.
	 */
	private static final long TOKENS_PER_MILLI = 30;

	/** Misdirected request: the address belongs to another instance now. */
	private static final int WRONG_INSTANCE = 421;

	private final RoutedExchange exchange;

	private final FleetEndpoint endpoint;

	private final Form form = new Form();

	private final PlacedRequest placed;

	private final long begunAt = System.nanoTime();

	private EndpointLink link;

	private ScheduledFuture<?> silence;

	private long sentAt;

	private long heardAt;

	private boolean done;

	Attempt(RoutedExchange exchange, FleetEndpoint endpoint, PlacedRequest placed) {
		this.exchange = exchange;
		this.endpoint = endpoint;
		this.placed = placed;
	}

	/**
	 * Return what was believed to wait at the endpoint when it was chosen.
	 * @return the work in prompt tokens, that of this request included unless all others
	 * go before it
	 */
	long workAhead() {
		return this.placed.workAhead();
	}

	/**
	 * Send the request.
	 * @param over the connection
	 * @param message the request
	 */
	void send(EndpointLink over, FullHttpRequest message) {
		this.link = over;
		this.sentAt = System.nanoTime();
		this.heardAt = this.sentAt;
		watch(silentAfterNanos());
		over.send(message, this);
	}

	/** Give the attempt up; its endpoint sees the connection close. */
	void cancel() {
		if (!this.done) {
			settle(Outcome.UNKNOWN);
			if (this.link != null) {
				this.link.abandon();
			}
		}
	}

	/**
	 * End the attempt without an answer.
	 * @param end how
	 * @param outcome what that tells of the endpoint
	 */
	void end(AttemptEnd end, Outcome outcome) {
		if (this.done) {
			return;
		}
		settle(outcome);
		tell(end);
		this.exchange.ended(this, end);
	}

	private void tell(AttemptEnd end) {
		long now = System.nanoTime();
		String instance = this.endpoint.instance();
		long silent = TimeUnit.NANOSECONDS.toMillis(now - this.heardAt);
		PlacedRequest.Belief belief = this.placed.belief(now);
		DecisionLog.write(LogEvent.ATTEMPT_ENDED, this.exchange.request().facts().id(), instance, end.name(),
				TimeUnit.NANOSECONDS.toMillis(now - this.begunAt), (this.sentAt != 0) ? silent : null, belief.running(),
				belief.waitingWork(), Math.round(belief.failureRate() * 100) / 100.0);
	}

	private void settle(Outcome outcome) {
		this.done = true;
		if (this.silence != null) {
			this.silence.cancel(false);
		}
		this.placed.end(outcome, System.nanoTime());
	}

	private void abandon(AttemptEnd end, Outcome outcome) {
		this.link.abandon();
		end(end, outcome);
	}

	private void heard() {
		this.heardAt = System.nanoTime();
		this.placed.heard(this.heardAt);
	}

	@Override
	public void head(HttpResponse head) {
		heard();
		RequestDialect.AnswerFacts facts = this.exchange.context().dialect().answer(head.headers());
		facts.load().ifPresent((load) -> this.placed.report(load.running(), load.waiting(), this.heardAt));
		facts.idleSeconds().ifPresent((seconds) -> this.exchange.context().links().idleTimeout(this.endpoint, seconds));
		int status = head.status().code();
		boolean notRun = facts.notRun() || status == WRONG_INSTANCE;
		boolean own = facts.requestId().equals(this.exchange.request().facts().id());
		if (!own && !notRun) {
			abandon(AttemptEnd.MISMATCH, Outcome.FAILED);
		}
		else if (notRun) {
			this.form.begin(Form.Mode.NOT_RUN, head);
		}
		else if (status / 100 == 2 && !facts.sealed()) {
			abandon(AttemptEnd.BROKEN, Outcome.FAILED);
		}
		else if (status / 100 == 2 && isStream(head)) {
			this.form.begin(Form.Mode.STREAM, head);
		}
		else {
			this.form.begin(Form.Mode.WHOLE, head);
		}
	}

	private boolean isStream(HttpResponse head) {
		return this.exchange.request().route().kind() == RequestKind.STREAM
				&& head.headers().get("content-type", "").startsWith("text/event-stream");
	}

	@Override
	public void content(ByteBuf bytes) {
		heard();
		if (this.done) {
			return;
		}
		if (this.form.mode == Form.Mode.STREAM) {
			events(ByteBufUtil.getBytes(bytes));
		}
		else if (this.form.mode == Form.Mode.WHOLE && !this.form.collect(bytes)) {
			abandon(AttemptEnd.BROKEN, Outcome.FAILED);
		}
	}

	private void events(byte[] bytes) {
		if (!this.form.frames.feed(bytes)) {
			abandon(AttemptEnd.BROKEN, Outcome.FAILED);
			return;
		}
		for (EventFrames.Event event = this.form.frames.next(); event != null; event = this.form.frames.next()) {
			this.placed.streamBegan(this.heardAt - this.sentAt);
			passOn(event);
		}
	}

	private void passOn(EventFrames.Event event) {
		OptionalLong last = this.exchange.lastEvent();
		if (last.isPresent() && event.id().isPresent() && event.id().getAsLong() <= last.getAsLong()) {
			return;
		}
		if (!this.exchange.response().isStarted()) {
			this.exchange.firstPart();
			this.exchange.response().startStream(this.form.status, this.form.headers);
		}
		this.exchange.response().write(Unpooled.wrappedBuffer(event.bytes()));
		this.exchange.passedOn(event.id());
	}

	@Override
	public void readComplete() {
		if (this.form.mode == Form.Mode.STREAM && this.exchange.response().isStarted()) {
			this.exchange.response().flush();
		}
	}

	@Override
	public void ended(boolean reusable) {
		if (this.done) {
			return;
		}
		if (reusable) {
			this.exchange.context().links().release(this.endpoint, this.link);
		}
		switch (this.form.mode) {
			case NOT_RUN -> notRun();
			case STREAM -> streamEnded();
			case WHOLE -> whole();
			case NONE -> end(AttemptEnd.BROKEN, Outcome.LOST);
		}
	}

	private void notRun() {
		boolean leaving = this.form.status == WRONG_INSTANCE;
		end(AttemptEnd.NOT_RUN, (leaving) ? Outcome.LEAVING : Outcome.FULL);
	}

	private void streamEnded() {
		if (this.form.frames.isWithinEvent()) {
			end(AttemptEnd.BROKEN, Outcome.LOST);
			return;
		}
		if (!this.exchange.response().isStarted()) {
			this.exchange.response().startStream(this.form.status, this.form.headers);
		}
		settle(Outcome.GOOD);
		this.exchange.endStream();
	}

	private void whole() {
		RoutedExchange.WholeAnswer answer = new RoutedExchange.WholeAnswer(this.form.status, this.form.headers,
				this.form.body.toByteArray());
		int status = this.form.status;
		if (this.exchange.response().isStarted()) {
			// A stream was to go on here, and this is none.
			end(AttemptEnd.FAILED, Outcome.FAILED);
		}
		else if (isPromise(status)) {
			// Passed on, the status would promise that the request was not run.
			end(AttemptEnd.FAILED, Outcome.FAILED);
		}
		else if (status >= 500) {
			this.exchange.keepFailure(answer);
			end(AttemptEnd.FAILED, Outcome.FAILED);
		}
		else {
			settle(Outcome.GOOD);
			this.exchange.answer(answer);
		}
	}

	private static boolean isPromise(int status) {
		return status == 408 || status == WRONG_INSTANCE || status == 429 || status == 503;
	}

	@Override
	public void broken() {
		if (this.form.mode == Form.Mode.NONE) {
			this.exchange.context().links().lost(this.endpoint, this.link, System.nanoTime() - this.sentAt);
		}
		end(AttemptEnd.BROKEN, Outcome.LOST);
	}

	// A connection can go silent for good, and an endpoint can be cut off, without
	// anything that TCP reports in time. Only a request that may run again is moved: any
	// other one waits for its answer until its time is over.
	private void watch(long nanos) {
		if (this.exchange.request().route().isIdempotent() && policy().isOn(RoutingMechanism.REPLACED_ATTEMPTS)) {
			this.silence = this.exchange.context().loop().schedule(this::checkSilence, nanos, TimeUnit.NANOSECONDS);
		}
	}

	private void checkSilence() {
		if (this.done) {
			return;
		}
		long bound = silentAfterNanos();
		long heard = this.heardAt;
		if (isEngine()) {
			heard = Math.max(heard, this.placed.heardAt());
		}
		long silent = System.nanoTime() - heard;
		if (silent < bound) {
			watch(bound - silent);
		}
		else if (this.exchange.mayReplace()) {
			abandon(AttemptEnd.SILENT, Outcome.LOST);
		}
		else {
			watch(bound / 2);
		}
	}

	private boolean isEngine() {
		return this.exchange.request().route().kind() == RequestKind.STREAM;
	}

	private RoutingPolicy policy() {
		return this.exchange.context().pools().policy();
	}

	private long silentAfterNanos() {
		Route route = this.exchange.request().route();
		if (!isEngine()) {
			return SILENT_TARGETS * route.target().toNanos();
		}
		long millis = Math.round(policy().value(RoutingParameter.ENGINE_SILENCE));
		if (!this.placed.isStreaming()) {
			// With many entries each hears little of an engine that is busy with the
			// prompts of the others: what waits there must not count as silence.
			millis += this.placed.waitingWork() / TOKENS_PER_MILLI;
		}
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	/** What the answer looks like, and what of it came so far. */
	private static final class Form {

		private final EventFrames frames = new EventFrames();

		private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);

		private Mode mode = Mode.NONE;

		private int status;

		private HttpHeaders headers;

		private void begin(Mode next, HttpResponse head) {
			this.mode = next;
			this.status = head.status().code();
			this.headers = HopHeaders.endToEnd(head.headers());
		}

		private boolean collect(ByteBuf bytes) {
			if (this.body.size() + bytes.readableBytes() > MAX_BODY) {
				return false;
			}
			this.body.writeBytes(ByteBufUtil.getBytes(bytes));
			return true;
		}

		private enum Mode {

			NONE, NOT_RUN, STREAM, WHOLE

		}

	}

}
