package org.acaciacourse.daemon.route;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import org.acaciacourse.core.attempt.AttemptEnd;
import org.acaciacourse.core.balance.Outcome;
import org.acaciacourse.core.balance.PlacedRequest;
import org.acaciacourse.core.balance.RoutingMechanism;
import org.acaciacourse.core.balance.RoutingParameter;
import org.acaciacourse.core.balance.RoutingPolicy;
import org.acaciacourse.core.path.LinkSign;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.core.route.RequestKind;
import org.acaciacourse.core.route.Route;
import org.acaciacourse.daemon.memory.WatchedResponse;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * One attempt of a routed request at one endpoint. Validates the response: it is accepted
 * only if it carries the request's id and the endpoint's seal and is complete.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class Attempt implements EndpointConnection.Listener {

	/**
	 * A service that has not responded within twice its target is slow or lost: even its
	 * slowest calls take less time.
	 */
	private static final int SILENCE_TARGET_FACTOR = 2;

	/**
	 * Engines prefill about 60 prompt tokens per millisecond, and half as many with a
	 * full batch.
	 */
	private static final long PROMPT_TOKENS_PER_MILLI = 30;

	/**
	 * The time after which a request that no sign of the endpoint has followed is taken
	 * to have arrived: longer than endpoints and links usually stall.
	 */
	private static final long MAX_TRANSIT_NANOS = TimeUnit.SECONDS.toNanos(6);

	/**
	 * The shortest time without data after which a link with requests in flight counts as
	 * silent. An engine sends events of its running responses every few batch steps, of
	 * 35 ms each with a full batch and a concurrent prefill; a service with a short
	 * target may take several times as long when it is busy.
	 */
	private static final long MIN_LINK_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	/**
	 * How long the body of a refusal is read, so that its connection can be reused. The
	 * head alone tells that the request was not run.
	 */
	private static final long REFUSAL_BODY_MILLIS = 100;

	/** HTTP 421: the address belongs to another instance now. */
	private static final int MISDIRECTED_REQUEST = 421;

	private final RoutedExchange exchange;

	private final FleetEndpoint endpoint;

	private final PartialResponse partial = new PartialResponse();

	private final PlacedRequest placed;

	private final BodyMemory.Body body = new BodyMemory.Body(() -> abandon(AttemptEnd.BROKEN, Outcome.FAILED));

	private final long startedAt = System.nanoTime();

	private EndpointConnection connection;

	private ScheduledFuture<?> silenceCheck;

	private long sentAt;

	private long lastActivityAt;

	private AnswerProgress answer = new AnswerProgress(false);

	private OptionalInt status = OptionalInt.empty();

	/** The id in the latest response, if it is not that of the request. */
	private Optional<String> otherResponseId = Optional.empty();

	private boolean done;

	private boolean arrived;

	Attempt(RoutedExchange exchange, FleetEndpoint endpoint, PlacedRequest placed) {
		this.exchange = exchange;
		this.endpoint = endpoint;
		this.placed = placed;
	}

	String instance() {
		return this.endpoint.instance();
	}

	private String requestId() {
		return this.exchange.request().metadata().id();
	}

	// Whether the request was sent and its connection is open.
	boolean isConnected() {
		return !this.done && this.connection != null;
	}

	/**
	 * Return the estimated work that was waiting at the endpoint when it was chosen.
	 * @return the work in prompt tokens, that of this request included unless all other
	 * requests are served before it
	 */
	long workAhead() {
		return this.placed.workAhead();
	}

	/**
	 * Send the request.
	 * @param endpointConnection the connection to send it over
	 * @param httpRequest the request
	 */
	void send(EndpointConnection endpointConnection, FullHttpRequest httpRequest) {
		this.connection = endpointConnection;
		this.answer = new AnswerProgress(this.exchange.lastEventId().isPresent());
		this.sentAt = System.nanoTime();
		this.lastActivityAt = this.sentAt;
		scheduleSilenceCheck(silenceTimeoutNanos());
		this.exchange.unread().ifPresent((unread) -> unread.readsFrom(endpointConnection));
		endpointConnection.send(httpRequest, requestId(), this);
	}

	/** Cancel the attempt and close its connection, so that the endpoint notices. */
	void cancel() {
		if (!this.done) {
			finish(Outcome.UNKNOWN);
			if (this.connection != null) {
				this.connection.abandon();
			}
		}
	}

	/**
	 * Confirm the arrival of the request if the endpoint has shown activity since it was
	 * sent, or if it has been in transit for the longest time.
	 * @param now the time
	 * @return whether the arrival is confirmed
	 */
	boolean tryConfirmArrival(long now) {
		if (this.placed.lastActivityAt() > this.sentAt || now - this.sentAt > MAX_TRANSIT_NANOS) {
			confirmArrival();
		}
		return this.arrived;
	}

	private void confirmArrival() {
		if (!this.arrived) {
			this.arrived = true;
			this.exchange.arrivalConfirmed(System.nanoTime() - this.sentAt);
		}
	}

	/**
	 * End the attempt without a response.
	 * @param end how it ended
	 * @param outcome what the end says about the endpoint
	 */
	void end(AttemptEnd end, Outcome outcome) {
		if (this.done) {
			return;
		}
		finish(outcome);
		logEnd(end);
		this.exchange.attemptEnded(this, end);
	}

	private void logEnd(AttemptEnd end) {
		long now = System.nanoTime();
		String instance = this.endpoint.instance();
		long silentMillis = TimeUnit.NANOSECONDS.toMillis(now - this.lastActivityAt);
		PlacedRequest.Estimate estimate = this.placed.estimate(now);
		Optional<EndpointConnection> used = Optional.ofNullable(this.connection);
		DecisionLog.write(LogEvent.ATTEMPT_ENDED, requestId(), instance,
				used.flatMap(EndpointConnection::via).orElse(null), end.name(),
				TimeUnit.NANOSECONDS.toMillis(now - this.startedAt), (this.sentAt != 0) ? silentMillis : null,
				estimate.running(), estimate.waitingWork(), Math.round(estimate.failureRate() * 100) / 100.0,
				Long.toHexString(this.exchange.features().content()),
				this.exchange.features().parts().stream().map(Long::toHexString).toList(), answeringMillis(now),
				this.endpoint.version().orElse(null), (this.status.isPresent()) ? this.status.getAsInt() : null,
				this.otherResponseId.orElse(null), used.map(EndpointConnection::earlierRequests).orElse(null));
	}

	private Long answeringMillis(long now) {
		OptionalLong nanos = this.answer.nanos(now);
		return (nanos.isPresent()) ? TimeUnit.NANOSECONDS.toMillis(nanos.getAsLong()) : null;
	}

	private void finish(Outcome outcome) {
		this.done = true;
		this.exchange.context().bodies().release(this.body);
		this.exchange.unread().ifPresent(WatchedResponse::readingEnded);
		if (this.silenceCheck != null) {
			this.silenceCheck.cancel(false);
		}
		this.placed.end(outcome, System.nanoTime());
	}

	private void abandon(AttemptEnd end, Outcome outcome) {
		this.connection.abandon();
		if (!this.arrived) {
			this.exchange.abandonedInTransit(this);
		}
		end(end, outcome);
	}

	private void recordActivity() {
		this.lastActivityAt = System.nanoTime();
		this.placed.recordActivity(this.lastActivityAt);
	}

	@Override
	public void headReceived(HttpResponse head) {
		recordActivity();
		RequestDialect.ResponseMetadata metadata = this.exchange.context().dialect().readResponse(head.headers());
		int status = head.status().code();
		boolean own = isOwn(metadata, status);
		this.status = OptionalInt.of(status);
		this.otherResponseId = Optional.of(metadata.requestId()).filter((id) -> !own);
		this.exchange.context()
			.statements()
			.received(new EndpointStatements.Response(this.endpoint, requestId(), own, this.connection.via(),
					this.placed.inFlight()), status, metadata);
		if (own) {
			ownHeadReceived(head, metadata);
		}
		else if (this.connection.tryDiscard(metadata.requestId())) {
			this.exchange.context().metrics().unmatchedResponse(true);
			DecisionLog.write(LogEvent.RESPONSE_DISCARDED, requestId(), this.endpoint.instance(), metadata.requestId(),
					status);
		}
		else {
			this.exchange.context().metrics().unmatchedResponse(false);
			abandon(AttemptEnd.MISMATCH, Outcome.FAILED);
		}
	}

	// A rejection may have no id. It is not late on a connection without an earlier
	// request.
	private boolean isOwn(RequestDialect.ResponseMetadata metadata, int status) {
		boolean first = metadata.requestId().isEmpty() && !this.connection.isReused();
		return metadata.requestId().equals(requestId()) || (first && isRejection(metadata, status));
	}

	private static boolean isRejection(RequestDialect.ResponseMetadata metadata, int status) {
		return metadata.notRun() || status == MISDIRECTED_REQUEST;
	}

	private void ownHeadReceived(HttpResponse head, RequestDialect.ResponseMetadata metadata) {
		confirmArrival();
		EndpointStatements.reportLoad(this.endpoint, metadata, this.placed, this.lastActivityAt);
		metadata.idleTimeoutSeconds()
			.ifPresent((seconds) -> this.exchange.context().connections().setIdleTimeout(this.endpoint, seconds));
		int status = head.status().code();
		if (isRejection(metadata, status)) {
			this.partial.start(PartialResponse.Mode.NOT_RUN, head);
			this.exchange.context()
				.loop()
				.schedule(this::endIncompleteRefusal, REFUSAL_BODY_MILLIS, TimeUnit.MILLISECONDS);
		}
		else if (status / 100 == 2 && !metadata.sealed()) {
			abandon(AttemptEnd.BROKEN, Outcome.FAILED);
		}
		else if (status / 100 == 2 && isStream(head)) {
			this.partial.start(PartialResponse.Mode.STREAM, head);
		}
		else {
			this.exchange.endpointBegan();
			this.partial.start(PartialResponse.Mode.BUFFERED, head);
		}
	}

	private boolean isStream(HttpResponse head) {
		return this.exchange.request().route().kind() == RequestKind.STREAM
				&& head.headers().get("content-type", "").startsWith("text/event-stream");
	}

	@Override
	public void contentReceived(ByteBuf bytes) {
		recordActivity();
		if (this.done) {
			return;
		}
		if (this.partial.mode == PartialResponse.Mode.STREAM) {
			forwardEvents(ByteBufUtil.getBytes(bytes));
		}
		else if (this.partial.mode == PartialResponse.Mode.BUFFERED) {
			collect(bytes);
		}
	}

	private void collect(ByteBuf bytes) {
		this.exchange.context().bodies().add(this.body, bytes.readableBytes());
		if (!this.done && !this.partial.collect(bytes)) {
			abandon(AttemptEnd.BROKEN, Outcome.FAILED);
		}
	}

	private void forwardEvents(byte[] bytes) {
		if (!this.partial.parser.feed(bytes)) {
			abandon(AttemptEnd.BROKEN, Outcome.FAILED);
			return;
		}
		for (ServerSentEventParser.Event event = this.partial.parser.next(); event != null; event = this.partial.parser
			.next()) {
			this.placed.streamBegan(this.lastActivityAt - this.sentAt);
			forward(event);
		}
	}

	private void forward(ServerSentEventParser.Event event) {
		if (!this.answer.hasBegun()) {
			this.exchange.endpointBegan();
		}
		this.answer.eventReceived(this.lastActivityAt);
		reportSurvival(false);
		OptionalLong lastForwarded = this.exchange.lastEventId();
		if (lastForwarded.isPresent() && event.id().isPresent()
				&& event.id().getAsLong() <= lastForwarded.getAsLong()) {
			return;
		}
		if (!this.exchange.response().isStarted()) {
			this.exchange.responseStarted();
			this.exchange.response().startStream(this.partial.status, this.partial.headers);
		}
		this.exchange.beforeEvent(this.endpoint);
		this.exchange.response().write(Unpooled.wrappedBuffer(event.bytes()));
		this.exchange.eventForwarded(event.id());
	}

	private void reportSurvival(boolean complete) {
		long now = System.nanoTime();
		if (this.answer.reportsSurvival(now, complete)) {
			this.answer.nanos(now).ifPresent(this.exchange::partsSurvived);
		}
	}

	@Override
	public void readComplete() {
		if (this.partial.mode == PartialResponse.Mode.STREAM && this.exchange.response().isStarted()) {
			this.exchange.response().flush();
		}
	}

	@Override
	public void responseComplete(boolean reusable) {
		if (this.done) {
			return;
		}
		if (reusable) {
			this.exchange.context().connections().release(this.endpoint, this.connection);
		}
		switch (this.partial.mode) {
			case NOT_RUN -> endNotRun();
			case STREAM -> endStream();
			case BUFFERED -> endBuffered();
			case NO_HEAD -> end(AttemptEnd.BROKEN, Outcome.LOST);
		}
	}

	private void endIncompleteRefusal() {
		if (!this.done) {
			this.connection.abandon();
			endNotRun();
		}
	}

	private void endNotRun() {
		boolean leaving = this.partial.status == MISDIRECTED_REQUEST;
		end(AttemptEnd.NOT_RUN, (leaving) ? Outcome.LEAVING : Outcome.FULL);
	}

	private void endStream() {
		if (isStreamBrokenOff()) {
			connectionBroke();
			return;
		}
		if (!this.exchange.response().isStarted()) {
			this.exchange.response().startStream(this.partial.status, this.partial.headers);
		}
		finish(Outcome.GOOD);
		reportSurvival(true);
		this.exchange.endStream();
	}

	// A stream that ends with its connection looks the same whether it is complete or its
	// endpoint has stopped. Without any event nothing speaks for the former, also where a
	// stream is resumed.
	private boolean isStreamBrokenOff() {
		return this.partial.parser.isWithinEvent() || (!this.answer.hasBegun() && this.connection.isClosedByEndpoint());
	}

	private void endBuffered() {
		BufferedResponse buffered = new BufferedResponse(this.partial.status, this.partial.headers,
				this.partial.body.toByteArray());
		int status = this.partial.status;
		if (this.exchange.response().isStarted()) {
			// The caller's stream is to be resumed here, and this response is not a
			// stream.
			end(AttemptEnd.FAILED, Outcome.FAILED);
		}
		else if (promisesNotRun(status)) {
			// If it were forwarded, the status would promise that the request was not
			// run.
			end(AttemptEnd.FAILED, Outcome.FAILED);
		}
		else if (status >= 500) {
			this.exchange.keepFailureResponse(buffered);
			end(AttemptEnd.FAILED, Outcome.FAILED);
		}
		else {
			finish(Outcome.GOOD);
			this.exchange.respond(buffered);
		}
	}

	private static boolean promisesNotRun(int status) {
		return status == 408 || status == MISDIRECTED_REQUEST || status == 429 || status == 503;
	}

	@Override
	public void connectionFailed() {
		confirmArrival();
		if (this.partial.mode == PartialResponse.Mode.NO_HEAD) {
			this.exchange.context()
				.connections()
				.requestLost(this.endpoint, this.connection, System.nanoTime() - this.sentAt);
		}
		connectionBroke();
	}

	private void connectionBroke() {
		if (this.done || !this.connection.isClosedByEndpoint()) {
			end(AttemptEnd.BROKEN, lossOutcome());
			return;
		}
		this.placed.connectionReset();
		finish(lossOutcome());
		logEnd(AttemptEnd.BROKEN);
		this.exchange.connectionLost(this, this.endpoint, lostRequest(System.nanoTime()));
	}

	private LostRequest lostRequest(long now) {
		return new LostRequest(this.exchange.features(), now - this.sentAt, this.answer.nanos(now));
	}

	/**
	 * Check whether the link to the endpoint has gone silent. Unlike an attempt, which is
	 * replaced only if it may be repeated, a link is doubted for any kind of request.
	 */
	void checkLink() {
		if (this.done || this.connection == null || this.connection.isPaused()) {
			return;
		}
		long now = System.nanoTime();
		long silentNanos = now - Math.max(this.sentAt, this.connection.link().aliveAt());
		if (silentNanos > linkSilenceNanos()) {
			this.connection.link().lost(LinkSign.SILENT, now);
		}
		if (silentNanos > MIN_LINK_SILENCE_NANOS && this.silenceCheck != null
				&& this.exchange.context().connections().isKnownToBeCut(this.connection)
				&& this.exchange.mayReplaceAttempt()) {
			abandon(AttemptEnd.SILENT, lossOutcome());
		}
	}

	// An endpoint that is lost together with others is reached over another path.
	private Outcome lossOutcome() {
		return (this.connection.link().isPathDoubted(System.nanoTime())) ? Outcome.UNKNOWN : Outcome.LOST;
	}

	private long linkSilenceNanos() {
		return (this.placed.isStreaming()) ? MIN_LINK_SILENCE_NANOS
				: Math.max(MIN_LINK_SILENCE_NANOS, silenceTimeoutNanos());
	}

	// A connection can stall for good and an endpoint can be cut off without TCP
	// reporting it in time. Only an idempotent request is moved to another endpoint; any
	// other request waits for its response until its deadline.
	private void scheduleSilenceCheck(long delayNanos) {
		if (this.exchange.request().route().isIdempotent() && policy().isOn(RoutingMechanism.REPLACED_ATTEMPTS)) {
			this.silenceCheck = this.exchange.context()
				.loop()
				.schedule(this::checkSilence, delayNanos, TimeUnit.NANOSECONDS);
		}
	}

	private void checkSilence() {
		if (this.done) {
			return;
		}
		long timeout = silenceTimeoutNanos();
		long lastActivity = (this.connection.isPaused()) ? System.nanoTime() : this.lastActivityAt;
		if (isStreamRequest()) {
			lastActivity = Math.max(lastActivity, this.placed.lastActivityAt());
		}
		long silentNanos = System.nanoTime() - lastActivity;
		if (silentNanos < timeout) {
			scheduleSilenceCheck(timeout - silentNanos);
		}
		else if (this.exchange.mayReplaceAttempt()) {
			abandon(AttemptEnd.SILENT, lossOutcome());
		}
		else {
			scheduleSilenceCheck(timeout / 2);
		}
	}

	private boolean isStreamRequest() {
		return this.exchange.request().route().kind() == RequestKind.STREAM;
	}

	private RoutingPolicy policy() {
		return this.exchange.context().pools().policy();
	}

	private long silenceTimeoutNanos() {
		Route route = this.exchange.request().route();
		if (!isStreamRequest()) {
			return SILENCE_TARGET_FACTOR * route.target().toNanos();
		}
		long millis = Math.round(policy().value(RoutingParameter.ENGINE_SILENCE));
		if (!this.placed.isStreaming()) {
			// With many entry VMs, each one receives little data from an engine that is
			// busy with the prompts of the others. The time to prefill the waiting
			// prompts must not count as silence.
			millis += this.placed.waitingWork() / PROMPT_TOKENS_PER_MILLI;
		}
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
