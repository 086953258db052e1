package org.acaciacourse.daemon.entry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;

import org.acaciacourse.core.code.LineBudget;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.AttemptOutcome;
import org.acaciacourse.core.dispatch.DispatchActions;
import org.acaciacourse.core.dispatch.Dispatcher;
import org.acaciacourse.core.dispatch.TargetEstimate;
import org.acaciacourse.core.model.Endpoint;
import org.acaciacourse.daemon.link.ControlLink;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jctools.queues.MpscArrayQueue;

/**
 * The one thread that owns the dispatcher. Events come in through a bounded ring, actions
 * go out as tasks of the event loop that owns the request.
 * <p>
 * Only arrivals are refused when the ring is nearly full. The rest of it is reserved for
 * what follows an arrival, of which each open request can have a few waiting at most, so
 * that no end of an attempt is ever lost.
 * <p>
 * Thread safe: {@link #submit} and {@link #arrive} are called by any thread; the actions
 * only by its own.
 */
final class DecisionLoop implements DispatchActions {

	private static final Logger logger = LogManager.getLogger(DecisionLoop.class);

	private static final int CAPACITY = 1 << 18;

	private static final int ARRIVAL_BOUND = CAPACITY / 4;

	private static final int BATCH = 256;

	private static final long LONGEST_PARK = 10_000_000L;

	/** In an overload nearly every request is refused. */
	private static final int REFUSAL_LINES_PER_SECOND = 10;

	private final LineBudget refusalLines = new LineBudget(REFUSAL_LINES_PER_SECOND, System.nanoTime());

	private final MpscArrayQueue<DecisionEvent> ring = new MpscArrayQueue<>(CAPACITY);

	private final Deque<DecisionEvent> own = new ArrayDeque<>();

	private final Map<Long, Exchange> exchanges = new HashMap<>();

	private final Map<Long, Exchange> attempts = new HashMap<>();

	private final long origin = System.nanoTime();

	private final Dispatcher dispatcher;

	private final ControlLink link;

	private final Thread thread;

	private Map<String, Endpoint> endpoints = Map.of();

	private long nextWake = Long.MAX_VALUE;

	private volatile boolean parked;

	private volatile boolean stopped;

	DecisionLoop(Function<DispatchActions, Dispatcher> factory, ControlLink link) {
		this.dispatcher = factory.apply(this);
		this.link = link;
		this.thread = new Thread(this::run, "decisions");
		this.thread.setDaemon(true);
	}

	void start() {
		this.thread.start();
	}

	void stop() {
		this.stopped = true;
		LockSupport.unpark(this.thread);
	}

	/**
	 * Return the time on the dispatcher's clock.
	 * @return nanoseconds since this loop was made
	 */
	long now() {
		return System.nanoTime() - this.origin;
	}

	/**
	 * Hand a new request over.
	 * @param exchange the request
	 * @return false if the ring is too full
	 */
	boolean arrive(Exchange exchange) {
		if (this.ring.size() > ARRIVAL_BOUND) {
			return false;
		}
		submit((d, now) -> {
			this.exchanges.put(exchange.id(), exchange);
			d.arrive(exchange.info(), now);
		});
		return true;
	}

	/**
	 * Hand an event over.
	 * @param event the event
	 */
	void submit(DecisionEvent event) {
		submitQuietly(event);
		if (this.parked) {
			LockSupport.unpark(this.thread);
		}
	}

	/**
	 * Hand an event over that can wait for some milliseconds: waking the thread for each
	 * token would cost more than the decisions.
	 * @param event the event
	 */
	void submitQuietly(DecisionEvent event) {
		while (!this.ring.offer(event)) {
			// Not reached while arrivals keep to their bound; see the class comment.
			Thread.onSpinWait();
		}
	}

	void configure(Configuration configuration) {
		submit((d, now) -> {
			this.endpoints = configuration.manifest().endpoints();
			d.configure(configuration.manifest(), now);
		});
	}

	void ended(long requestId, long attemptId, AttemptOutcome outcome) {
		submit((d, now) -> {
			this.attempts.remove(attemptId);
			if (outcome == AttemptOutcome.COMPLETE) {
				this.exchanges.remove(requestId);
			}
			d.ended(attemptId, outcome, now);
		});
	}

	void callerGone(long requestId) {
		submit((d, now) -> {
			d.callerGone(requestId, now);
			this.exchanges.remove(requestId);
		});
	}

	private void run() {
		while (!this.stopped) {
			boolean busy = runOwn();
			for (int i = 0; i < BATCH; i++) {
				DecisionEvent event = this.ring.poll();
				if (event == null) {
					break;
				}
				busy = true;
				apply(event);
				runOwn();
			}
			tick();
			if (!busy) {
				park();
			}
		}
	}

	private boolean runOwn() {
		boolean any = false;
		for (DecisionEvent event = this.own.poll(); event != null; event = this.own.poll()) {
			apply(event);
			any = true;
		}
		return any;
	}

	private void apply(DecisionEvent event) {
		try {
			event.apply(this.dispatcher, now());
		}
		catch (RuntimeException ex) {
			logger.error("{} in the decision thread", ResultCode.INTERNAL.number(), ex);
		}
	}

	private void tick() {
		if (now() >= this.nextWake) {
			this.nextWake = Long.MAX_VALUE;
			apply(Dispatcher::tick);
		}
	}

	private void park() {
		this.parked = true;
		long longest = (this.attempts.isEmpty()) ? Long.MAX_VALUE : LONGEST_PARK;
		long wait = Math.min(longest, this.nextWake - now());
		if (this.ring.isEmpty() && wait > 0 && !this.stopped) {
			LockSupport.parkNanos(this, wait);
		}
		this.parked = false;
	}

	@Override
	public void dispatch(Attempt attempt) {
		Exchange exchange = this.exchanges.get(attempt.requestId());
		Endpoint endpoint = this.endpoints.get(attempt.endpoint());
		if (exchange == null || endpoint == null) {
			AttemptOutcome outcome = (exchange != null) ? AttemptOutcome.NOT_SENT : AttemptOutcome.CANCELLED;
			this.own.add((d, now) -> d.ended(attempt.id(), outcome, now));
			return;
		}
		this.attempts.put(attempt.id(), exchange);
		exchange.executor().execute(() -> exchange.dispatch(attempt, endpoint));
	}

	@Override
	public void cancel(long attemptId) {
		Exchange exchange = this.attempts.get(attemptId);
		if (exchange == null) {
			this.own.add((d, now) -> d.ended(attemptId, AttemptOutcome.CANCELLED, now));
			return;
		}
		exchange.executor().execute(() -> exchange.cancel(attemptId));
	}

	@Override
	public void finish(long requestId, ResultCode code, Optional<Duration> retryAfter) {
		Exchange exchange = this.exchanges.remove(requestId);
		if (exchange != null) {
			exchange.executor().execute(() -> exchange.finish(code, retryAfter));
		}
	}

	@Override
	public void unreachable(long requestId, TargetEstimate estimate) {
		this.refusalLines.next(System.nanoTime())
			.ifPresent((untold) -> DecisionLog.write(LogEvent.TARGET_REFUSED, requestId, millis(estimate.waited()),
					millis(estimate.expectedWait()), millis(estimate.leastTime()), millis(estimate.target()),
					estimate.ahead(), estimate.running(), estimate.healthy(), estimate.slots(),
					millis(estimate.meanDuration()), untold));
	}

	private static long millis(long nanos) {
		return TimeUnit.NANOSECONDS.toMillis(nanos);
	}

	@Override
	public void publishSuspect(long contentHash, int crashes) {
		this.link.reportCrash(contentHash, crashes);
	}

	@Override
	public void wakeAt(long nanos) {
		this.nextWake = Math.min(this.nextWake, nanos);
	}

}
