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

import org.acaciacourse.core.code.LogRateLimiter;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.AttemptOutcome;
import org.acaciacourse.core.dispatch.DispatchActions;
import org.acaciacourse.core.dispatch.Dispatcher;
import org.acaciacourse.core.dispatch.TargetEstimate;
import org.acaciacourse.core.model.Endpoint;
import org.acaciacourse.daemon.link.ControlLink;
import org.acaciacourse.daemon.process.EssentialThread;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jctools.queues.MpscArrayQueue;

/**
 * The single thread that owns the dispatcher. Events are submitted through a bounded
 * queue; the dispatcher's actions run as tasks on the event loop that owns the request.
 * <p>
 * Only arrivals are refused, once a quarter of the queue is in use. The rest is reserved
 * for later events of accepted requests. As each active request has at most a few of them
 * queued, the end of an attempt is never lost.
 * <p>
 * Thread safe: {@link #submit} and {@link #submitArrival} may be called by any thread,
 * the methods of {@link DispatchActions} by the dispatcher's thread only.
 */
final class DispatchLoop implements DispatchActions {

	private static final Logger logger = LogManager.getLogger(DispatchLoop.class);

	private static final int QUEUE_CAPACITY = 1 << 18;

	private static final int MAX_QUEUED_ON_ARRIVAL = QUEUE_CAPACITY / 4;

	private static final int BATCH_SIZE = 256;

	private static final long MAX_PARK_NANOS = 10_000_000L;

	/** Bounds the log volume in an overload, when nearly every request is refused. */
	private static final int MAX_REFUSAL_LINES_PER_SECOND = 10;

	private final LogRateLimiter refusalLogLimiter = new LogRateLimiter(MAX_REFUSAL_LINES_PER_SECOND,
			System.nanoTime());

	private final MpscArrayQueue<DispatchEvent> eventQueue = new MpscArrayQueue<>(QUEUE_CAPACITY);

	private final Deque<DispatchEvent> localEvents = new ArrayDeque<>();

	private final Map<Long, ActiveRequest> requests = new HashMap<>();

	private final Map<Long, ActiveRequest> requestsByAttempt = new HashMap<>();

	private final long startNanos = System.nanoTime();

	private final Dispatcher dispatcher;

	private final ControlLink link;

	private final Thread thread;

	private Map<String, Endpoint> endpoints = Map.of();

	private long nextWake = Long.MAX_VALUE;

	private volatile boolean parked;

	private volatile boolean stopped;

	DispatchLoop(Function<DispatchActions, Dispatcher> factory, ControlLink link) {
		this.dispatcher = factory.apply(this);
		this.link = link;
		this.thread = new EssentialThread(this::run, "decisions");
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
	 * @return nanoseconds since this loop was created
	 */
	long now() {
		return System.nanoTime() - this.startNanos;
	}

	/**
	 * Submit a new request.
	 * @param request the request
	 * @return false if the queue is too full for arrivals
	 */
	boolean submitArrival(ActiveRequest request) {
		if (this.eventQueue.size() > MAX_QUEUED_ON_ARRIVAL) {
			return false;
		}
		submit((d, now) -> {
			this.requests.put(request.id(), request);
			d.requestArrived(request.info(), now);
		});
		return true;
	}

	/**
	 * Submit an event and wake the dispatcher's thread if it is parked.
	 * @param event the event
	 */
	void submit(DispatchEvent event) {
		submitWithoutWakeup(event);
		if (this.parked) {
			LockSupport.unpark(this.thread);
		}
	}

	/**
	 * Submit an event that can wait for some milliseconds. Waking the thread for each
	 * token would cost more than the dispatcher's decisions.
	 * @param event the event
	 */
	void submitWithoutWakeup(DispatchEvent event) {
		while (!this.eventQueue.offer(event)) {
			// Not reached, as arrivals are limited; see the class comment.
			Thread.onSpinWait();
		}
	}

	void configure(Configuration configuration) {
		submit((d, now) -> {
			this.endpoints = configuration.manifest().endpoints();
			d.configure(configuration.manifest(), now);
		});
	}

	void attemptEnded(long requestId, long attemptId, AttemptOutcome outcome) {
		submit((d, now) -> {
			this.requestsByAttempt.remove(attemptId);
			if (outcome == AttemptOutcome.COMPLETE) {
				this.requests.remove(requestId);
			}
			d.attemptEnded(attemptId, outcome, now);
		});
	}

	void callerGone(long requestId) {
		submit((d, now) -> {
			d.callerGone(requestId, now);
			this.requests.remove(requestId);
		});
	}

	private void run() {
		while (!this.stopped) {
			boolean busy = runLocalEvents();
			for (int i = 0; i < BATCH_SIZE; i++) {
				DispatchEvent event = this.eventQueue.poll();
				if (event == null) {
					break;
				}
				busy = true;
				apply(event);
				runLocalEvents();
			}
			tick();
			if (!busy) {
				park();
			}
		}
	}

	private boolean runLocalEvents() {
		boolean any = false;
		for (DispatchEvent event = this.localEvents.poll(); event != null; event = this.localEvents.poll()) {
			apply(event);
			any = true;
		}
		return any;
	}

	private void apply(DispatchEvent event) {
		try {
			event.apply(this.dispatcher, now());
		}
		catch (RuntimeException ex) {
			logger.error("{} uncaught exception in the dispatcher thread", ResultCode.INTERNAL.number(), ex);
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
		long maxWait = (this.requestsByAttempt.isEmpty()) ? Long.MAX_VALUE : MAX_PARK_NANOS;
		long wait = Math.min(maxWait, this.nextWake - now());
		if (this.eventQueue.isEmpty() && wait > 0 && !this.stopped) {
			LockSupport.parkNanos(this, wait);
		}
		this.parked = false;
	}

	@Override
	public void dispatch(Attempt attempt) {
		ActiveRequest request = this.requests.get(attempt.requestId());
		Endpoint endpoint = this.endpoints.get(attempt.endpoint());
		if (request == null || endpoint == null) {
			AttemptOutcome outcome = (request != null) ? AttemptOutcome.NOT_SENT : AttemptOutcome.CANCELLED;
			this.localEvents.add((d, now) -> d.attemptEnded(attempt.id(), outcome, now));
			return;
		}
		this.requestsByAttempt.put(attempt.id(), request);
		request.executor().execute(() -> request.startAttempt(attempt, endpoint));
	}

	@Override
	public void cancel(long attemptId) {
		ActiveRequest request = this.requestsByAttempt.get(attemptId);
		if (request == null) {
			this.localEvents.add((d, now) -> d.attemptEnded(attemptId, AttemptOutcome.CANCELLED, now));
			return;
		}
		request.executor().execute(() -> request.cancelAttempt(attemptId));
	}

	@Override
	public void finish(long requestId, ResultCode code, Optional<Duration> retryAfter) {
		ActiveRequest request = this.requests.remove(requestId);
		if (request != null) {
			request.executor().execute(() -> request.fail(code, retryAfter));
		}
	}

	@Override
	public void targetUnreachable(long requestId, TargetEstimate estimate) {
		this.refusalLogLimiter.tryAcquire(System.nanoTime())
			.ifPresent((suppressed) -> DecisionLog.write(LogEvent.TARGET_REFUSED, requestId, millis(estimate.waited()),
					millis(estimate.expectedWait()), millis(estimate.minServiceTime()), millis(estimate.target()),
					estimate.ahead(), estimate.running(), estimate.healthy(), estimate.slots(),
					millis(estimate.meanDuration()), suppressed));
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
