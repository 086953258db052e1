package org.acaciacourse.daemon.route;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import org.acaciacourse.core.attempt.AttemptEnd;
import org.acaciacourse.core.attempt.RequestProgress;
import org.acaciacourse.core.balance.Placement;
import org.acaciacourse.core.balance.PoolBalancer;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.core.route.Pool;
import org.acaciacourse.daemon.http.CallerResponse;
import org.acaciacourse.daemon.http.Refusal;

/**
 * One routed request from its arrival to its end: makes the attempts that
 * {@link RequestProgress} permits and passes one answer on. Invariant: exactly one end is
 * told to the caller, and from then on no attempt is under way.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class RoutedExchange {

	/**
	 * How long a request waits for an endpoint that takes it, as a share of its target.
	 */
	private static final int WAIT_SHARE = 4;

	private static final long LEAST_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	/**
	 * How long a prompt that can wait does so at most, in targets: an answer that is late
	 * is still worth something, and callers stay for four targets before the first event.
	 */
	private static final double HOLD_TARGETS = 1.2;

	/** And as a share of the time that the request has. */
	private static final double HOLD_TIME_SHARE = 0.35;

	/** It waits for the holder of its shared part in the first quarter of its target. */
	private static final int HOLDER_SHARE = 4;

	/**
	 * Targets within this factor of the shortest one are the short requests themselves.
	 */
	private static final double NEARLY_SHORTEST = 1.25;

	/** When to come back if no endpoint took the request; spread over twice the time. */
	private static final long COME_BACK_MILLIS = 300;

	/** A shorter rest of the time can't yield an answer any more. */
	private static final long LEAST_REMAINING_MILLIS = 5;

	private final RouteContext context;

	private final RoutedRequest request;

	private final PoolStates.State pool;

	private final CallerResponse response;

	private final RequestProgress progress;

	private final long startedAt = System.nanoTime();

	private final long endsAt;

	private final ScheduledFuture<?> deadline;

	private Optional<Attempt> current = Optional.empty();

	private Optional<WholeAnswer> failureAnswer = Optional.empty();

	private OptionalLong lastEvent;

	private long refusedSince;

	private boolean done;

	RoutedExchange(RouteContext context, RoutedRequest request, CallerResponse response) {
		this.context = context;
		this.request = request;
		this.pool = context.pools().state(request.pool());
		this.response = response;
		this.progress = new RequestProgress(request.route());
		this.lastEvent = request.facts().lastEvent();
		long millis = request.route().timeout().toMillis();
		if (request.facts().patienceMillis().isPresent()) {
			millis = Math.min(millis, request.facts().patienceMillis().getAsLong());
		}
		this.endsAt = this.startedAt + TimeUnit.MILLISECONDS.toNanos(millis);
		this.deadline = context.loop().schedule(this::timedOut, Math.max(0, millis), TimeUnit.MILLISECONDS);
		response.onGone(this::callerGone);
	}

	RouteContext context() {
		return this.context;
	}

	RoutedRequest request() {
		return this.request;
	}

	RequestProgress progress() {
		return this.progress;
	}

	CallerResponse response() {
		return this.response;
	}

	PoolBalancer balancer() {
		return this.pool.balancer();
	}

	OptionalLong lastEvent() {
		return this.lastEvent;
	}

	/** Begin. */
	void start() {
		this.context.open().add(this);
		this.pool.allowance().request(this.startedAt);
		attempt();
	}

	private void attempt() {
		if (this.done) {
			return;
		}
		if (this.progress.isRepeat() && !this.pool.allowance().mayRetry(System.nanoTime())) {
			fail("no retry left in the budget");
			return;
		}
		long dueAt = this.startedAt + this.request.route().target().toNanos();
		this.pool.queue().add(this, this.request.urgency(), dueAt);
	}

	/**
	 * Look for an endpoint; called while the request waits for one.
	 * @return whether the request waits no more
	 */
	boolean place() {
		long now = System.nanoTime();
		Placement.Patience patience = patience(now);
		Optional<FleetEndpoint> choice = choose(patience, now);
		if (choice.isPresent()) {
			this.pool.queue().remove(this);
			this.refusedSince = 0;
			begin(choice.get());
			return true;
		}
		return patience == Placement.Patience.NONE && isRefusedTooLong(now);
	}

	private boolean isRefusedTooLong(long now) {
		if (this.refusedSince == 0) {
			this.refusedSince = now;
		}
		long most = Math.max(LEAST_WAIT_NANOS, this.request.route().target().toNanos() / WAIT_SHARE);
		if (now - this.refusedSince < most) {
			return false;
		}
		this.pool.queue().remove(this);
		fail("no endpoint takes it");
		return true;
	}

	private Placement.Patience patience(long now) {
		long target = this.request.route().target().toNanos();
		boolean shortest = target <= this.pool.shortestTarget().toNanos() * NEARLY_SHORTEST;
		if (this.request.facts().prompt().promptTokens() == 0 || shortest || this.progress.isRepeat()) {
			return Placement.Patience.NONE;
		}
		long waited = now - this.startedAt;
		if (waited >= Math.min(target * HOLD_TARGETS, (this.endsAt - this.startedAt) * HOLD_TIME_SHARE)) {
			return Placement.Patience.NONE;
		}
		boolean early = waited < target / HOLDER_SHARE;
		return (early) ? Placement.Patience.HOLDER : Placement.Patience.ROOM;
	}

	private Optional<FleetEndpoint> choose(Placement.Patience patience, long now) {
		return this.pool.balancer()
			.choose(new Placement(this.request.facts().prompt(), this.request.route().affinity(), this.request.hash(),
					this.progress.tried(), patience), now);
	}

	private void begin(FleetEndpoint endpoint) {
		Attempt attempt = new Attempt(this, endpoint);
		this.current = Optional.of(attempt);
		this.progress.begin(endpoint.instance());
		this.context.links().acquire(endpoint, (link) -> connected(attempt, endpoint, link));
	}

	private void connected(Attempt attempt, FleetEndpoint endpoint, EndpointLink link) {
		if (this.done || this.current.isEmpty() || this.current.get() != attempt) {
			if (link != null) {
				this.context.links().release(endpoint, link);
			}
			return;
		}
		if (link == null) {
			attempt.end(AttemptEnd.NOT_SENT, PoolBalancer.Outcome.LOST);
			return;
		}
		long remaining = TimeUnit.NANOSECONDS.toMillis(this.endsAt - System.nanoTime());
		if (remaining < LEAST_REMAINING_MILLIS) {
			this.context.links().release(endpoint, link);
			timedOut();
			return;
		}
		if (this.progress.isRepeat()) {
			this.pool.allowance().spend(System.nanoTime());
		}
		this.progress.sent();
		attempt.send(link, message(endpoint, remaining));
	}

	private FullHttpRequest message(FleetEndpoint endpoint, long remaining) {
		byte[] body = this.request.body();
		FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
				HttpMethod.valueOf(this.request.method()), this.request.target(), Unpooled.wrappedBuffer(body));
		HttpHeaders headers = message.headers();
		headers.add(this.request.headers());
		if (body.length > 0 || this.request.hasBody()) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		}
		boolean engine = this.context.pools().declared(this.request.pool()).map(Pool::isEngine).orElse(false);
		this.context.dialect()
			.write(new RequestDialect.SendFacts(endpoint.instance(), this.request.customer(), remaining,
					this.request.urgency(), this.lastEvent, engine), headers);
		return message;
	}

	/**
	 * An attempt ended without an answer that is passed on.
	 * @param attempt the attempt
	 * @param end how it ended
	 */
	void ended(Attempt attempt, AttemptEnd end) {
		if (this.done || this.current.isEmpty() || this.current.get() != attempt) {
			return;
		}
		this.current = Optional.empty();
		this.progress.ended(end);
		this.context.metrics().attempt(end.name());
		if (this.progress.mayTryAgain()) {
			attempt();
		}
		else {
			fail(end.name());
		}
	}

	/**
	 * Return whether an attempt that is silent may be given up for another one.
	 * @return whether a repeat is harmless and within the bounds
	 */
	boolean mayReplace() {
		return this.request.route().isIdempotent() && this.progress.mayTryAgain()
				&& this.pool.allowance().mayRetry(System.nanoTime())
				&& choose(Placement.Patience.NONE, System.nanoTime()).isPresent();
	}

	// An endpoint's failure, which is passed on if no attempt yields better.
	void keepFailure(WholeAnswer answer) {
		this.failureAnswer = Optional.of(answer);
	}

	/** The first part of the answer is passed on. */
	void firstPart() {
		this.context.metrics().first(this.request.route(), System.nanoTime() - this.startedAt);
	}

	/**
	 * An event was passed on.
	 * @param id its id, if it has one
	 */
	void passedOn(OptionalLong id) {
		this.progress.passedOn();
		if (id.isPresent()) {
			this.lastEvent = id;
		}
	}

	/**
	 * Pass a whole answer on.
	 * @param answer the answer
	 */
	void answer(WholeAnswer answer) {
		if (close()) {
			firstPart();
			this.response.answer(answer.status(), answer.headers(), answer.body());
			this.context.metrics().ended(this.request.route(), ResultCode.OK);
		}
	}

	/** The stream came to its end. */
	void endStream() {
		if (close()) {
			this.response.endStream();
			this.context.metrics().ended(this.request.route(), ResultCode.OK);
		}
	}

	private void fail(String detail) {
		if (this.failureAnswer.isPresent() && !this.response.isStarted()) {
			WholeAnswer kept = this.failureAnswer.get();
			if (close()) {
				this.response.answer(kept.status(), kept.headers(), kept.body());
				this.context.metrics().ended(this.request.route(), ResultCode.ENDPOINT_ERROR);
			}
			return;
		}
		finish(this.progress.failure(false), detail);
	}

	private void timedOut() {
		if (!this.done) {
			finish(this.progress.failure(true), "the time is over");
		}
	}

	private void finish(ResultCode code, String detail) {
		if (!close()) {
			return;
		}
		RouteLog.failed(this.request.facts().id(), code, detail);
		this.context.metrics().ended(this.request.route(), code);
		if (this.response.isStarted()) {
			// The answer can't be completed: only a broken connection tells that.
			this.response.abort();
			return;
		}
		long spread = Math.floorMod(this.request.hash(), COME_BACK_MILLIS);
		refuse(this.context.dialect(), this.response,
				Refusal.of(code, this.progress.runState(), Optional.of(Duration.ofMillis(COME_BACK_MILLIS + spread))),
				this.request.facts());
	}

	/**
	 * Refuse a request.
	 * @param dialect writes the headers
	 * @param response takes the refusal
	 * @param refusal the reason
	 * @param facts what the caller said
	 */
	static void refuse(RequestDialect dialect, CallerResponse response, Refusal refusal,
			RequestDialect.RequestFacts facts) {
		HttpHeaders headers = new DefaultHttpHeaders();
		headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
		refusal.retryAfter().ifPresent((delay) -> dialect.writeRetryAfter(delay, headers));
		response.answer(refusal.code().httpStatus(), headers, refusal.bytes());
	}

	private void callerGone() {
		if (close()) {
			this.context.metrics().ended(this.request.route(), ResultCode.CALLER_GONE);
		}
	}

	/** Cut the request: the VM ends before it does. */
	void cut() {
		finish((this.progress.runState() == org.acaciacourse.core.code.RunState.NOT_RUN) ? ResultCode.STOPPING
				: ResultCode.ENDPOINT_LOST, "the VM stops");
	}

	private boolean close() {
		if (this.done) {
			return false;
		}
		this.done = true;
		this.deadline.cancel(false);
		this.context.open().remove(this);
		this.pool.queue().remove(this);
		this.current.ifPresent(Attempt::cancel);
		this.current = Optional.empty();
		return true;
	}

	/**
	 * A whole answer of an endpoint.
	 *
	 * @param status the HTTP status
	 * @param headers the headers that are passed on
	 * @param body the body
	 */
	record WholeAnswer(int status, HttpHeaders headers, byte[] body) {
	}

}
