package org.acaciacourse.core.balance;

import java.util.OptionalDouble;
import java.util.OptionalInt;

import org.acaciacourse.core.admission.SentRequest;
import org.acaciacourse.core.speed.SpeedObservation;

/**
 * A request at an endpoint, from its placement to its end: what it adds to the endpoint's
 * load and what it shows of the endpoint's health. Invariant: each step counts once, so
 * that whatever the order of events, the request leaves no load behind after its end.
 * <p>
 * The request keeps the {@link EndpointLoad} that it began with: an endpoint that
 * disappears from the list and returns later gets a new one.
 * <p>
 * Not thread safe: belongs to the event loop of its {@link PoolBalancer}.
 */
public final class PlacedRequest {

	private final EndpointLoad load;

	private final PrefillRate prefillRate;

	private final boolean brief;

	private final QueuePosition queuePosition;

	private final long uncachedTokens;

	private final long work;

	private final long workAhead;

	private final SpeedObservation speedObservation;

	private SentRequest observation = SentRequest.IGNORED;

	private boolean prefillDone;

	private boolean streaming;

	private boolean connectionReset;

	private boolean ended;

	PlacedRequest(EndpointLoad load, PrefillRate prefillRate, Placement request, QueuePosition queuePosition,
			long now) {
		this.load = load;
		this.prefillRate = prefillRate;
		this.brief = request.brief();
		this.queuePosition = queuePosition;
		long cached = load.prefixCache().cachedTokens(request.shape());
		this.uncachedTokens = Math.max(0, request.shape().promptTokens() - cached);
		this.work = request.shape().work(cached);
		if (queuePosition.delaysOthers()) {
			load.begin(this.work);
		}
		else {
			load.beginDeferred(this.work);
		}
		if (this.brief) {
			load.briefBegan();
		}
		this.workAhead = load.waitingWork();
		this.speedObservation = load.speed()
			.observe(new SpeedObservation.Work(this.workAhead, queuePosition.indicatesPrefillRate(),
					request.shape().promptTokens() == 0, load.running(now), load.endpoint().slots()), now);
	}

	// Lets an estimate of the time that requests take learn from this one.
	void observedBy(SentRequest next) {
		this.observation = next;
	}

	EndpointLoad load() {
		return this.load;
	}

	QueuePosition queuePosition() {
		return this.queuePosition;
	}

	/**
	 * Return the prefill work of the request that the endpoint's cache does not save.
	 * @return the work in prompt tokens
	 */
	public long work() {
		return this.work;
	}

	/**
	 * Return the work that waited at the endpoint when the request was sent.
	 * @return the work in prompt tokens, including that of the request unless it is
	 * deferred
	 */
	public long workAhead() {
		return this.workAhead;
	}

	/**
	 * Return the tokens of the prompt that the endpoint is not known to have in its
	 * cache.
	 * @return the number of tokens, 0 if the size of the prompt is not known
	 */
	public long uncachedTokens() {
		return this.uncachedTokens;
	}

	/**
	 * Record that data arrived from the endpoint.
	 * @param now the time
	 */
	public void recordActivity(long now) {
		this.load.recordActivity(now);
	}

	/**
	 * Return when data last arrived from the endpoint, on any connection.
	 * @return the time, far in the past if there was none
	 */
	public long lastActivityAt() {
		return this.load.lastActivityAt();
	}

	/**
	 * Record a load report of the endpoint.
	 * @param running the number of running requests
	 * @param waiting the number of waiting requests
	 * @param now the time
	 * @return whether the report shows that the endpoint has started again
	 */
	public boolean report(int running, int waiting, long now) {
		return this.load.report(running, waiting, now);
	}

	/**
	 * Record a load report of the endpoint.
	 * @param running the number of running requests
	 * @param waiting the number of waiting requests
	 * @param pace how long work takes there now, in percent of the usual time, if the
	 * endpoint states it
	 * @param now the time
	 * @return whether the report shows that the endpoint has started again
	 */
	public boolean report(int running, int waiting, OptionalInt pace, long now) {
		boolean restart = report(running, waiting, now);
		pace.ifPresent((percent) -> this.load.speed().paceStated(percent, now));
		return restart;
	}

	/**
	 * Record that the endpoint fails if it has to refuse more requests than it stated.
	 * @param perSecond the refusals within a second that it endures
	 * @param now the time
	 */
	public void reportRefusalLimit(int perSecond, long now) {
		this.load.refusalLimitStated(perSecond, now);
	}

	/**
	 * Record the limit on its requests that the endpoint stated, or that it stated none.
	 * @param perSecond the requests per second of all VMs
	 * @param now the time
	 */
	public void reportRateLimit(OptionalDouble perSecond, long now) {
		this.load.rateLimitStated(perSecond, now);
	}

	/**
	 * Record an event of the response. The first one shows that the prompt is prefilled.
	 * @param elapsed nanoseconds since the request was sent
	 */
	public void streamBegan(long elapsed) {
		if (!this.ended) {
			this.speedObservation.eventReceived(elapsed);
		}
		if (this.streaming || this.ended) {
			return;
		}
		this.streaming = true;
		this.load.streamBegan();
		if (this.queuePosition.indicatesPrefillRate()) {
			this.prefillRate.observe(this.workAhead, Math.round(elapsed * this.load.speed().learned()));
		}
		this.observation.firstEvent(elapsed);
		markPrefillDone();
	}

	private void markPrefillDone() {
		if (this.prefillDone) {
			return;
		}
		this.prefillDone = true;
		if (this.queuePosition.delaysOthers()) {
			this.load.prefillDone(this.work);
		}
		else {
			this.load.deferredPrefillDone(this.work);
		}
	}

	/**
	 * Return whether an event of the response arrived.
	 * @return whether the prompt is prefilled
	 */
	public boolean isStreaming() {
		return this.streaming;
	}

	/** Record that the endpoint closed the connection, by which the request ends. */
	public void connectionReset() {
		this.connectionReset = true;
	}

	/**
	 * Record the end of the request, with a response or without one.
	 * @param outcome what the end shows of the endpoint
	 * @param now the time
	 */
	public void end(Outcome outcome, long now) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.observation.ended(outcome == Outcome.GOOD, outcome == Outcome.UNKNOWN, now);
		markPrefillDone();
		if (this.streaming) {
			this.load.streamEnded();
		}
		if (this.brief) {
			this.load.briefEnded();
		}
		if (outcome == Outcome.GOOD) {
			this.speedObservation.completed(now);
		}
		this.load.end();
		outcome.apply(this.load, now);
		if (this.connectionReset && outcome == Outcome.LOST) {
			this.load.connectionReset();
		}
	}

	/**
	 * Return the work that waits at the endpoint for all VMs, including reported work and
	 * this VM's deferred work.
	 * @return the work in prompt tokens
	 */
	public long waitingWork() {
		return this.load.waitingWork() + this.load.deferredWork();
	}

	/**
	 * Return how many requests of this VM are at the endpoint, for the log.
	 * @return the number
	 */
	public int inFlight() {
		return this.load.inFlight();
	}

	/**
	 * Return the estimated state of the endpoint, for the log.
	 * @param now the time
	 * @return the estimate
	 */
	public Estimate estimate(long now) {
		return new Estimate(this.load.running(now), this.load.waitingWork(), this.load.failureRate(now));
	}

	/**
	 * The estimated state of an endpoint.
	 *
	 * @param running the number of requests there
	 * @param waitingWork the prefill work of those whose prompt is not prefilled yet
	 * @param failureRate the share of responses that fail, weighted towards the latest
	 * ones
	 */
	public record Estimate(int running, long waitingWork, double failureRate) {
	}

}
