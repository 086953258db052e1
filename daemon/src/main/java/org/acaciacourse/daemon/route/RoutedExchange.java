package org.acaciacourse.daemon.route;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Try;
import org.acaciacourse.core.admission.AdmissionDecision;
import org.acaciacourse.core.attempt.AttemptEnd;
import org.acaciacourse.core.attempt.RequestProgress;
import org.acaciacourse.core.balance.Outcome;
import org.acaciacourse.core.balance.PlacedRequest;
import org.acaciacourse.core.balance.Placement;
import org.acaciacourse.core.balance.QueuePosition;
import org.acaciacourse.core.balance.RequestRetries;
import org.acaciacourse.core.balance.RoutingMechanism;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.code.RunState;
import org.acaciacourse.core.crash.RequestFeatures;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.core.route.Pool;
import org.acaciacourse.daemon.http.CallerResponse;
import org.acaciacourse.daemon.http.Refusal;
import org.acaciacourse.daemon.memory.WatchedResponse;
import org.acaciacourse.daemon.tunnel.TcpSockets;

/**
 * One routed request from its arrival to its end: makes the attempts that
 * {@link RequestProgress} permits and forwards one response. Invariant: the caller
 * receives exactly one outcome, and after it no attempt is in flight.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class RoutedExchange {

	/** With less time left, no response can arrive before the deadline. */
	private static final long MIN_REMAINING_MILLIS = 5;

	private static final String RETRY_BUDGET_EXHAUSTED = "retry budget exhausted";

	private static final String TOO_LATE = "no endpoint would answer while the caller waits";

	private static final String CRASHED_ENDPOINTS = "the content or a part of the prompt crashed endpoints";

	private final RouteContext context;

	private final RoutedRequest request;

	private final PoolStates.State pool;

	private final CallerResponse response;

	private final RequestProgress progress;

	private final RequestRetries retries;

	private final StreamBinding binding;

	private final RequestPlacement placement;

	private final Optional<WatchedResponse> unread;

	private final ExchangeTelemetry telemetry;

	private final RequestDemand demand;

	private final long startedAt;

	private final long deadlineAt;

	private final ScheduledFuture<?> deadlineTimer;

	private final Set<EndpointConnection> usedConnections = new HashSet<>();

	private Optional<Attempt> current = Optional.empty();

	private Optional<BufferedResponse> failureResponse = Optional.empty();

	private OptionalLong lastEventId;

	private Optional<RequestFeatures> features = Optional.empty();

	private QueuePosition queuePosition = QueuePosition.OVERTAKES_OTHERS;

	private boolean done;

	/**
	 * Create an exchange.
	 * @param context the objects that all requests of the VM share
	 * @param request the request
	 * @param response takes the response
	 * @param arrivedAt when the request was read; its deadline counts from there
	 */
	RoutedExchange(RouteContext context, RoutedRequest request, CallerResponse response, long arrivedAt) {
		this.startedAt = arrivedAt;
		this.context = context;
		this.request = request;
		this.pool = context.pools().state(request.pool());
		this.response = response;
		this.progress = new RequestProgress(request.route());
		this.retries = new RequestRetries(this.pool.allowance());
		this.binding = new StreamBinding(request, this.pool.balancer(), context.pools().versions(), context.origins());
		this.unread = context.memory().map((memory) -> memory.watch(response, request.metadata().id()));
		this.lastEventId = request.metadata().lastEventId();
		this.deadlineAt = this.startedAt + TimeUnit.MILLISECONDS.toNanos(request.timeoutMillis());
		this.placement = new RequestPlacement(context, request, this.binding, this.startedAt, this.deadlineAt);
		this.telemetry = new ExchangeTelemetry(context, request, this.startedAt, this.deadlineAt);
		this.demand = new RequestDemand(context.metrics().demand(), request, this.startedAt);
		this.deadlineTimer = context.loop()
			.schedule(this::timedOut, this.deadlineAt - System.nanoTime(), TimeUnit.NANOSECONDS);
		response.onDisconnect(this::callerGone);
	}

	RouteContext context() {
		return this.context;
	}

	RoutedRequest request() {
		return this.request;
	}

	CallerResponse response() {
		return this.response;
	}

	// What the caller has not read of the response, if that is bounded.
	Optional<WatchedResponse> unread() {
		return this.unread;
	}

	OptionalLong lastEventId() {
		return this.lastEventId;
	}

	// Determined when needed: hashing a content takes time.
	RequestFeatures features() {
		if (this.features.isEmpty()) {
			this.features = Optional.of(new RequestFeatures(this.request.contentHash(), this.request.sharedPartIds()));
		}
		return this.features.get();
	}

	/** Start to process the request. */
	void start() {
		this.context.openExchanges().add(this);
		this.context.pools().recordRequest(this.pool, this.startedAt);
		enqueue();
	}

	private void enqueue() {
		if (this.done || withholdCrashingRequest() || failWithoutVersion()) {
			return;
		}
		if (this.progress.isRetry() && !this.retries.reserve(System.nanoTime())) {
			fail(RETRY_BUDGET_EXHAUSTED);
			return;
		}
		this.placement.share().queued();
		boolean overShare = this.placement.share().isOverShare();
		if (this.context.pools().policy().isOn(RoutingMechanism.ORDER_OF_THE_QUEUE)) {
			long dueAt = this.startedAt + this.request.route().target().toNanos();
			this.pool.queue().add(this, this.request.urgency(), overShare, dueAt);
		}
		else {
			this.pool.queue().add(this, 0, overShare, this.startedAt);
		}
	}

	// Nothing tells which endpoints could go on with the stream.
	private boolean failWithoutVersion() {
		if (this.binding.isVersionUnknown()) {
			failAsVersionGone();
			return true;
		}
		return false;
	}

	private void failAsVersionGone() {
		String detail = "no endpoint can go on with the stream: " + this.binding.origin().orElseThrow();
		if (this.progress.runState() == RunState.NOT_RUN) {
			finish(ResultCode.STREAM_VERSION_GONE, detail);
		}
		else {
			fail(detail);
		}
	}

	private boolean withholdCrashingRequest() {
		Optional<Duration> refusal = this.context.crashes().refusal(this::features);
		refusal.ifPresent((remaining) -> {
			if (this.progress.runState() == RunState.NOT_RUN) {
				finish(ResultCode.CONTENT_WITHHELD, CRASHED_ENDPOINTS, remaining);
			}
			else {
				fail(CRASHED_ENDPOINTS);
			}
		});
		return refusal.isPresent();
	}

	/**
	 * Try to place the request on an endpoint; called while it waits for one.
	 * @return whether the request no longer waits
	 */
	boolean tryPlace() {
		long now = System.nanoTime();
		if (withholdCrashingRequest()) {
			return true;
		}
		Placement wanted = this.placement.wanted(this.progress.triedInstances());
		Optional<FleetEndpoint> choice = choose(wanted, now);
		if (choice.isEmpty()) {
			return failIfWaitedTooLong(wanted, now);
		}
		this.pool.queue().remove(this);
		Optional<AdmissionDecision> decision = admission(choice.get(), wanted, now);
		if (decision.filter((one) -> !one.reason().isAdmitted()).isPresent()) {
			finish(ResultCode.TARGET_UNREACHABLE, TOO_LATE, decision.get().retryAfter());
			return true;
		}
		this.placement.found();
		this.telemetry.placed(now);
		startAttempt(decision.map(AdmissionDecision::endpoint).orElse(choice.get()), wanted);
		return true;
	}

	// A request that may have run, or whose caller has a part of the stream, can't be
	// refused as not run. One under suspicion must stay at the endpoint chosen for it.
	private Optional<AdmissionDecision> admission(FleetEndpoint chosen, Placement wanted, long now) {
		boolean judged = this.progress.runState() == RunState.NOT_RUN
				&& !this.context.crashes().isSuspect(this::features);
		return (judged) ? this.placement.admission().decide(chosen, wanted, now) : Optional.empty();
	}

	// Two contents under suspicion that meet the same crash again can't be told apart.
	private Optional<FleetEndpoint> choose(Placement wanted, long now) {
		if (!this.context.crashes().isSuspect(this::features)) {
			return this.pool.balancer().choose(wanted, now);
		}
		Set<String> excluded = new HashSet<>(wanted.excluded());
		this.context.openExchanges()
			.stream()
			.filter((other) -> other != this && this.context.crashes().isSuspect(other::features))
			.forEach((other) -> other.current.ifPresent((attempt) -> excluded.add(attempt.instance())));
		return this.pool.balancer()
			.choose(wanted.excluding(excluded), now)
			.or(() -> this.pool.balancer().choose(wanted, now));
	}

	private boolean failIfWaitedTooLong(Placement wanted, long now) {
		boolean exhausted = this.pool.balancer().isExhausted(wanted);
		if (!exhausted && !this.placement.isWaitTooLong(wanted, now)) {
			return false;
		}
		if (exhausted && this.binding.isBound()) {
			this.pool.queue().remove(this);
			failAsVersionGone();
			return true;
		}
		Duration retryAfter = this.placement.retryDelayBehindQueue(now);
		this.pool.queue().remove(this);
		fail("no endpoint takes it", retryAfter);
		return true;
	}

	// Whether the caller has a part of its stream, with which only some endpoints can go
	// on.
	boolean isBoundToVersion() {
		return this.binding.isBound();
	}

	// What it takes of its customer's share.
	RequestShare share() {
		return this.placement.share();
	}

	private void startAttempt(FleetEndpoint endpoint, Placement wanted) {
		this.queuePosition = this.placement.queuePosition(endpoint, System.nanoTime());
		PlacedRequest placed = this.pool.balancer()
			.begin(endpoint.instance(), wanted, this.queuePosition, System.nanoTime());
		this.placement.admission().sent(placed, System.nanoTime());
		this.placement.share().placed(endpoint, placed);
		Attempt attempt = new Attempt(this, endpoint, this.demand.placed(placed));
		this.current = Optional.of(attempt);
		this.progress.attemptStarted(endpoint.instance());
		this.context.connections()
			.acquire(endpoint, this::hasCarried, (result) -> connected(attempt, endpoint, result));
	}

	// Another request with the same id is one of a caller that does not tell its requests
	// apart.
	private boolean hasCarried(EndpointConnection connection) {
		return this.usedConnections.contains(connection) || connection.hasCarried(this.request.metadata().id());
	}

	private void connected(Attempt attempt, FleetEndpoint endpoint, Try<EndpointConnection> result) {
		if (!isCurrent(attempt)) {
			result.forEach((connection) -> this.context.connections().release(endpoint, connection));
		}
		else if (result.isFailure()) {
			attempt.end(AttemptEnd.NOT_SENT, outcomeOf(result.getCause()));
		}
		else if (!this.context.pools().mayGetRequests(endpoint.instance(), System.nanoTime())) {
			// It has responded to another request since it was chosen for this one.
			this.context.connections().release(endpoint, result.get());
			attempt.end(AttemptEnd.NOT_SENT, Outcome.UNKNOWN);
		}
		else {
			send(attempt, endpoint, result.get());
		}
	}

	private static Outcome outcomeOf(Throwable failure) {
		return (TcpSockets.isRefused(failure)) ? Outcome.GONE : Outcome.LOST;
	}

	private void send(Attempt attempt, FleetEndpoint endpoint, EndpointConnection connection) {
		long remainingMillis = TimeUnit.NANOSECONDS.toMillis(this.deadlineAt - System.nanoTime());
		if (remainingMillis < MIN_REMAINING_MILLIS) {
			this.context.connections().release(endpoint, connection);
			timedOut();
			return;
		}
		if (this.progress.isRetry() && !sendRetry(attempt, endpoint)) {
			this.context.connections().release(endpoint, connection);
			fail(RETRY_BUDGET_EXHAUSTED);
			return;
		}
		this.progress.beforeSend();
		this.context.crashes().sent(this::features);
		this.telemetry.sent(endpoint.instance(), urgency(), attempt.workAhead(), System.nanoTime());
		if (this.lastEventId.isPresent()) {
			this.telemetry.resumed(endpoint, this.binding.origin(), this.lastEventId.getAsLong());
		}
		this.usedConnections.add(connection);
		attempt.send(connection, httpRequest(endpoint, remainingMillis));
	}

	private boolean sendRetry(Attempt attempt, FleetEndpoint endpoint) {
		long now = System.nanoTime();
		boolean permitted = this.retries.send(now);
		if (permitted) {
			this.pool.addUnconfirmed(attempt);
			this.telemetry.retried(endpoint.instance(), this.pool.allowance().balance(now));
		}
		return permitted;
	}

	private FullHttpRequest httpRequest(FleetEndpoint endpoint, long remainingMillis) {
		boolean engine = this.context.pools().declaredPool(this.request.pool()).map(Pool::isEngine).orElse(false);
		return this.request.httpRequest(this.context.dialect(), new RequestDialect.ForwardMetadata(endpoint.instance(),
				this.request.customer(), remainingMillis, urgency(), this.lastEventId, engine));
	}

	private int urgency() {
		return this.placement.urgency(this.queuePosition);
	}

	/**
	 * An attempt ended without a response to forward.
	 * @param attempt the attempt
	 * @param end how it ended
	 */
	void attemptEnded(Attempt attempt, AttemptEnd end) {
		if (!isCurrent(attempt)) {
			return;
		}
		recordEnd(end);
		if (this.progress.mayRetry()) {
			enqueue();
		}
		else {
			fail(end.name());
		}
	}

	private boolean isCurrent(Attempt attempt) {
		return !this.done && this.current.isPresent() && this.current.get() == attempt;
	}

	private void recordEnd(AttemptEnd end) {
		this.current = Optional.empty();
		this.placement.share().ended(end.mayHaveRun());
		this.progress.attemptEnded(end);
		this.context.metrics().attemptEnded(end.name());
	}

	/**
	 * An attempt ended as its endpoint closed the connection. It is known first whether
	 * the endpoint has crashed before the request is retried.
	 * @param attempt the attempt
	 * @param endpoint its endpoint
	 * @param lost what was known of the attempt when its connection broke
	 */
	void connectionLost(Attempt attempt, FleetEndpoint endpoint, LostRequest lost) {
		if (!isCurrent(attempt)) {
			return;
		}
		recordEnd(AttemptEnd.BROKEN);
		boolean mayRetry = this.progress.mayRetry();
		this.context.crashes().connectionLost(endpoint, lost, () -> {
			if (mayRetry) {
				enqueue();
			}
		});
		if (!mayRetry) {
			fail(AttemptEnd.BROKEN.name());
		}
	}

	/**
	 * Return whether an attempt without activity may be replaced by another one.
	 * @return whether a repeat is safe, within the limits, and possible now
	 */
	boolean mayReplaceAttempt() {
		return this.request.route().isIdempotent() && this.progress.mayRetry()
				&& this.pool.allowance().mayRetry(System.nanoTime())
				&& this.placement.hasUntriedEndpoint(this.progress.triedInstances(), System.nanoTime());
	}

	/**
	 * Return whether the request is on an open connection to an endpoint.
	 * @param instance the endpoint
	 * @return whether it waits for a response from there
	 */
	boolean isConnectedTo(String instance) {
		return this.current.filter((attempt) -> attempt.isConnected() && attempt.instance().equals(instance))
			.isPresent();
	}

	/** Check whether the link to the endpoint has gone silent; called periodically. */
	void checkLink() {
		this.current.ifPresent(Attempt::checkLink);
	}

	// Keeps an endpoint's error response, which is forwarded if no attempt succeeds.
	void keepFailureResponse(BufferedResponse failure) {
		this.failureResponse = Optional.of(failure);
	}

	/**
	 * An attempt has reached its endpoint, or never will.
	 * @param nanos nanoseconds since the request was sent to it
	 */
	void arrivalConfirmed(long nanos) {
		this.retries.confirmArrival(System.nanoTime());
		if (this.progress.isRepeated()) {
			this.context.metrics().retryReceived(this.request.pool(), nanos);
		}
	}

	/**
	 * An attempt ended before its arrival was confirmed.
	 * @param attempt the attempt
	 */
	void abandonedInTransit(Attempt attempt) {
		this.pool.addUnconfirmed(attempt);
	}

	/**
	 * An endpoint has begun a stream and gone on with it.
	 * @param nanos nanoseconds since it began
	 */
	void partsSurvived(long nanos) {
		this.context.crashes().partsSurvived(this.request.pool(), this::features, Duration.ofNanos(nanos));
	}

	/** An endpoint has begun to run the request. */
	void endpointBegan() {
		this.demand.answerBegan();
		this.placement.share().began();
		this.context.usage().ifPresent((meter) -> this.request.customer().ifPresent(meter::began));
	}

	/** The first part of the response is forwarded. */
	void responseStarted() {
		this.telemetry.responseStarted(System.nanoTime());
	}

	/**
	 * An event is about to be forwarded.
	 * @param endpoint the endpoint that wrote it
	 */
	void beforeEvent(FleetEndpoint endpoint) {
		this.binding.bind(endpoint);
	}

	/**
	 * An event was forwarded.
	 * @param id its id, if it has one
	 */
	void eventForwarded(OptionalLong id) {
		this.progress.responseForwarded();
		this.placement.share().eventForwarded();
		this.telemetry.eventForwarded(System.nanoTime());
		this.demand.eventForwarded();
		if (id.isPresent()) {
			this.lastEventId = id;
		}
	}

	/**
	 * Forward a complete response.
	 * @param buffered the response
	 */
	void respond(BufferedResponse buffered) {
		if (close()) {
			if (buffered.isSuccess()) {
				this.context.crashes().answered(this::features);
				partsSurvived(0);
			}
			responseStarted();
			this.response.send(buffered.status(), buffered.headers(), buffered.body());
			this.telemetry.responseComplete(this.progress);
		}
	}

	/** The stream is complete. */
	void endStream() {
		if (close()) {
			this.context.crashes().answered(this::features);
			this.response.endStream();
			this.telemetry.responseComplete(this.progress);
		}
	}

	private void fail(String detail) {
		fail(detail, this.placement.retryDelay(System.nanoTime()));
	}

	private void fail(String detail, Duration retryAfter) {
		if (this.failureResponse.isPresent() && !this.response.isStarted()) {
			BufferedResponse kept = this.failureResponse.get();
			if (close()) {
				this.telemetry.failed(ResultCode.ENDPOINT_ERROR, "error response of the endpoint forwarded",
						this.progress, Duration.ZERO);
				this.response.send(kept.status(), kept.headers(), kept.body());
			}
			return;
		}
		finish(this.progress.failure(false), detail, retryAfter);
	}

	private void timedOut() {
		if (!this.done) {
			finish(this.progress.failure(true), "deadline exceeded");
		}
	}

	private void finish(ResultCode code, String detail) {
		finish(code, detail, RetryDelay.usual(this.request.idHash()));
	}

	private void finish(ResultCode code, String detail, Duration retryAfter) {
		if (!close()) {
			return;
		}
		this.telemetry.failed(code, detail, this.progress, retryAfter);
		this.demand.failed(code);
		if (this.response.isStarted()) {
			// The response can't be completed, and only an aborted connection signals
			// that.
			this.response.abort();
			return;
		}
		RefusalWriter.write(this.context.dialect(), this.response,
				Refusal.of(code, this.progress.runState(), Optional.of(retryAfter)));
	}

	private void callerGone() {
		if (close()) {
			String detail = this.unread.flatMap(WatchedResponse::endReason)
				.map((reason) -> "the caller did not read the answer: " + reason.label())
				.orElse("the caller closed the connection");
			this.telemetry.failed(ResultCode.CALLER_GONE, detail, this.progress, Duration.ZERO);
		}
	}

	/** Abort the request because the VM stops before it is complete. */
	void abortForShutdown() {
		finish((this.progress.runState() == RunState.NOT_RUN) ? ResultCode.STOPPING : ResultCode.ENDPOINT_LOST,
				"VM is stopping");
	}

	private boolean close() {
		if (this.done) {
			return false;
		}
		this.done = true;
		this.deadlineTimer.cancel(false);
		this.context.openExchanges().remove(this);
		this.binding.end();
		this.demand.ended();
		this.pool.queue().remove(this);
		this.retries.release();
		this.placement.share().ended(this.current.isPresent() && this.progress.runState() != RunState.NOT_RUN);
		this.current.ifPresent(Attempt::cancel);
		this.current = Optional.empty();
		return true;
	}

}
