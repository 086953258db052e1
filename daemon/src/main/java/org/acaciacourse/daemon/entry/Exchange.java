package org.acaciacourse.daemon.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import io.opentelemetry.api.trace.Span;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.code.RunState;
import org.acaciacourse.core.delivery.AnswerSequence;
import org.acaciacourse.core.delivery.RunLedger;
import org.acaciacourse.core.dispatch.AttemptOutcome;
import org.acaciacourse.core.dispatch.DispatchActions;
import org.acaciacourse.core.dispatch.RequestInfo;
import org.acaciacourse.core.model.Endpoint;
import org.acaciacourse.daemon.http.CallerResponse;
import org.acaciacourse.daemon.http.Refusal;

/**
 * One request from its arrival to its end. Exactly one end is told to the caller: the
 * whole answer, a refusal, or an error inside a stream that began.
 * <p>
 * A request that runs at most once is claimed before it is handed to the dispatcher, and
 * runs to its end even if its caller goes away, so that a resend gets the answer.
 * <p>
 * Not thread safe: belongs to the event loop of the caller. Only {@link #id},
 * {@link #info} and {@link #executor} may be called by another thread.
 */
final class Exchange {

	private static final long CHECK_SECONDS = 5;

	private static final long BLOCKED_LIMIT = TimeUnit.SECONDS.toNanos(30);

	private static final long COMMENT_AFTER = TimeUnit.SECONDS.toNanos(10);

	private static final long GUARD_NANOS = TimeUnit.SECONDS.toNanos(3);

	private final long id;

	private final RequestPlan plan;

	private final RequestInfo info;

	private final EntryContext context;

	private final CallerOutput output;

	private final RequestRecord record;

	private final RunLedger ledger = new RunLedger();

	private final AnswerSequence sequence = new AnswerSequence();

	private final Map<Long, Relay> relays = new LinkedHashMap<>();

	private final Optional<ClaimGuard> claim;

	private ScheduledFuture<?> check;

	private Relay leader;

	private long legs;

	private String resumeSource = "";

	private boolean resumeRefused;

	private Optional<KeptAnswer> rejection = Optional.empty();

	private ResultCode lastFailure = ResultCode.ENDPOINT_ERROR;

	private boolean arrived;

	private boolean done;

	Exchange(long id, RequestPlan plan, EntryContext context, CallerResponse response, RequestRecord record) {
		this.id = id;
		this.plan = plan;
		this.context = context;
		this.info = plan.info(id, context.loop().now());
		this.record = record;
		this.output = new CallerOutput(response, record.requestId(), plan.claim().isPresent());
		this.claim = plan.claim().map((key) -> new ClaimGuard(key, plan.content().digest(), context, this));
		response.onGone(this::callerGone);
		response.onWritable(this::pump);
	}

	long id() {
		return this.id;
	}

	RequestInfo info() {
		return this.info;
	}

	EventExecutor executor() {
		return this.output.executor();
	}

	RequestPlan plan() {
		return this.plan;
	}

	String requestId() {
		return this.record.requestId();
	}

	Span span() {
		return this.record.span();
	}

	RunLedger ledger() {
		return this.ledger;
	}

	AnswerSequence sequence() {
		return this.sequence;
	}

	long nextLeg() {
		return ++this.legs;
	}

	/** Begin: claim the request if it needs a claim, else hand it to the dispatcher. */
	void start() {
		this.check = executor().scheduleAtFixedRate(this::check, CHECK_SECONDS, CHECK_SECONDS, TimeUnit.SECONDS);
		this.claim.ifPresentOrElse(ClaimGuard::begin, this::arrive);
	}

	/** The claim is granted: hand the request to the dispatcher. */
	void arrive() {
		if (this.done) {
			this.claim.ifPresent((guard) -> guard.ended(this.ledger.mayRunAgain()));
			return;
		}
		this.arrived = this.context.loop().arrive(this);
		if (!this.arrived) {
			finish(ResultCode.QUEUE_FULL, Optional.empty());
		}
	}

	/**
	 * The claim is not granted: the first request with its key has run or may have.
	 * @param code the reason
	 * @param run what is known of the first request
	 */
	void claimRefused(ResultCode code, RunState run) {
		if (!this.done) {
			close();
			this.output.refuse(Refusal.of(code, run, Optional.empty()));
			this.record.failed(code);
			leave();
		}
	}

	/**
	 * The claim was completed before: answer with what was kept.
	 * @param kept the answer
	 */
	void replay(KeptAnswer kept) {
		if (!this.done) {
			close();
			this.output.answer(kept);
			this.record.replayed();
			leave();
		}
	}

	/**
	 * Make an attempt.
	 * @param attempt the attempt
	 * @param endpoint its endpoint
	 */
	void dispatch(DispatchActions.Attempt attempt, Endpoint endpoint) {
		if (this.done) {
			this.context.loop().ended(this.id, attempt.id(), AttemptOutcome.CANCELLED);
			return;
		}
		Relay relay = new Relay(this, this.context, attempt, endpoint);
		this.relays.put(attempt.id(), relay);
		this.record.attemptBegins();
		relay.start();
	}

	/**
	 * Cancel an attempt.
	 * @param attemptId the attempt
	 */
	void cancel(long attemptId) {
		Relay relay = this.relays.get(attemptId);
		if (relay != null) {
			relay.cancel();
		}
	}

	/**
	 * End the request without a whole answer.
	 * @param code the reason
	 * @param retryAfter when to come back
	 */
	void finish(ResultCode code, Optional<Duration> retryAfter) {
		if (this.done) {
			return;
		}
		close();
		if (this.rejection.isPresent() && this.output.answer(this.rejection.get())) {
			this.record.failed(code);
			this.claim.ifPresent((guard) -> guard.answered(this.rejection.get().encode()));
		}
		else {
			ResultCode told = (code != ResultCode.ENDPOINT_ERROR) ? code : this.lastFailure;
			this.output.refuse(Refusal.of(told, this.ledger.state(), retryAfter));
			this.record.failed(told);
			this.claim.ifPresent((guard) -> guard.ended(this.ledger.mayRunAgain()));
		}
		leave();
	}

	/**
	 * Judge a token and pass it on if it is the next one.
	 * @param relay the attempt
	 * @param leg its exchange
	 * @param index the place of the token
	 * @param data the event
	 * @return the judgement
	 */
	AnswerSequence.Verdict token(Relay relay, Leg leg, long index, Leg.Data data) {
		this.record.received(1);
		if (leg.tokens() == 1) {
			this.ledger.ran(leg.number());
		}
		if (this.leader == null) {
			this.leader = relay;
		}
		if (this.leader != relay) {
			return AnswerSequence.Verdict.FOREIGN;
		}
		this.sequence.follow(leg.number());
		AnswerSequence.Verdict verdict = this.sequence.token(leg.number(), index);
		if (verdict == AnswerSequence.Verdict.PASS) {
			this.record.firstToken();
			this.output.event(index, data, leg.answerId().length());
		}
		return verdict;
	}

	/**
	 * An attempt yielded the whole answer.
	 * @param relay the attempt
	 * @param leg its last exchange
	 * @return whether its answer is the one passed on
	 */
	boolean whole(Relay relay, Leg leg) {
		if (this.done || (this.leader != null && this.leader != relay)) {
			return false;
		}
		this.relays.remove(relay.attemptId());
		close();
		if (leg.isStream()) {
			this.output.endStream();
			this.record.answered(this.sequence.passedOn());
		}
		else {
			this.record.received(leg.tokens());
			this.record.firstToken();
			this.output.plain(leg, this.plan.isModel());
			this.record.answered(leg.tokens());
		}
		this.claim.ifPresent((guard) -> guard.answered(this.output.kept()));
		leave();
		return true;
	}

	/**
	 * Take note of how an exchange ended.
	 * @param leg the exchange
	 * @param end how
	 */
	void note(Leg leg, Leg.End end) {
		if (leg.call().maySent()) {
			this.ledger.mayReach(leg.number());
		}
		switch (end) {
			case REFUSED, CANNOT_RESUME -> this.ledger.refused(leg.number(), leg.number());
			case WHOLE -> this.ledger.ran(leg.number());
			case NOT_SENT -> {
			}
			default -> broken(leg);
		}
	}

	/**
	 * An exchange broke; its engine may be able to go on with it.
	 * @param leg the exchange
	 */
	void broken(Leg leg) {
		this.resumeSource = leg.wireId();
		this.resumeRefused = false;
	}

	/**
	 * Keep the answer of an endpoint that refused the request itself.
	 * @param leg the exchange
	 */
	void rejected(Leg leg) {
		String type = leg.answerHead().header("content-type");
		this.rejection = Optional.of(new KeptAnswer(leg.answerHead().status(), type, leg.answerBody()));
	}

	void resumeRefused() {
		this.resumeRefused = true;
	}

	boolean canResume() {
		return this.plan.endpointSet().resumable() && !this.resumeRefused && !this.resumeSource.isEmpty();
	}

	String resumeSource() {
		return this.resumeSource;
	}

	/**
	 * Return whether the request may be run from its start.
	 * @return whether it may be repeated, or can't have run yet
	 */
	boolean mayRun() {
		return this.claim.isEmpty() || this.ledger.mayRunAgain();
	}

	/**
	 * An attempt ended.
	 * @param relay the attempt
	 * @param code what went wrong, {@link ResultCode#OK} for nothing
	 */
	void relayEnded(Relay relay, ResultCode code) {
		this.relays.remove(relay.attemptId());
		this.record.attemptEnds();
		if (this.leader == relay) {
			this.leader = null;
		}
		if (code != ResultCode.OK) {
			this.lastFailure = code;
		}
	}

	boolean isWritable() {
		return this.output.isWritable();
	}

	void flush() {
		this.output.flush();
	}

	private void pump() {
		List.copyOf(this.relays.values()).forEach(Relay::pump);
	}

	private void callerGone() {
		this.output.gone();
		if (this.done || this.claim.isPresent()) {
			pump();
			return;
		}
		this.context.loop().callerGone(this.id);
		close();
		this.record.failed(ResultCode.CALLER_GONE);
		leave();
	}

	/** Cut the request: the VM ends before it does. */
	void cut() {
		if (!this.done) {
			this.context.loop().callerGone(this.id);
			finish(ResultCode.DRAIN_LIMIT, Optional.empty());
		}
	}

	private void check() {
		if (this.output.blockedFor() > BLOCKED_LIMIT) {
			this.output.abort();
			return;
		}
		this.output.commentAfter(COMMENT_AFTER);
		if (this.arrived && this.context.loop().now() > this.info.deadlineNanos() + GUARD_NANOS) {
			// The dispatcher ends each request at its deadline. This guard holds even
			// if a fault inside it forgot one: no caller may be left without a final
			// answer.
			this.context.loop().callerGone(this.id);
			finish(ResultCode.DEADLINE_EXCEEDED, Optional.empty());
		}
	}

	private void close() {
		this.done = true;
		this.check.cancel(false);
		new ArrayList<>(this.relays.values()).forEach(Relay::cancel);
	}

	private void leave() {
		if (this.claim.isEmpty() || !this.claim.get().isHeld()) {
			this.context.open().remove(this);
		}
	}

	/** The claim is completed: nothing is left to be done. */
	void claimCompleted() {
		this.context.open().remove(this);
	}

}
