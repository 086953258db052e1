package org.acaciacourse.core.balance;

/**
 * A request at an endpoint, from its choice to its end: what it adds to the endpoint's
 * load and what it tells of the endpoint's health. Invariant: each step counts once, so
 * that whatever order events come in, nothing of the request is left behind its end.
 * <p>
 * It keeps to the load that it began with: an endpoint that is missing in one list and
 * there again in the next one is counted anew.
 * <p>
 * Not thread safe: belongs to the event loop of its {@link PoolBalancer}.
 */
public final class PlacedRequest {

	private final EndpointLoad load;

	private final PrefillRate prefillRate;

	private final boolean brief;

	private final Turn queuePosition;

	private final long work;

	private final long workAhead;

	private boolean prefillDone;

	private boolean streaming;

	private boolean ended;

	PlacedRequest(EndpointLoad load, PrefillRate prefillRate, Placement request, Turn queuePosition) {
		this.load = load;
		this.prefillRate = prefillRate;
		this.brief = request.brief();
		this.queuePosition = queuePosition;
		this.work = request.shape().work(load.prefixCache().cachedTokens(request.shape()));
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
	}

	/**
	 * Return the work that waited at the endpoint when the request was sent.
	 * @return the work in prompt tokens, that of the request included unless all others
	 * go before it
	 */
	public long workAhead() {
		return this.workAhead;
	}

	/**
	 * Something came from the endpoint.
	 * @param now the time
	 */
	public void heard(long now) {
		this.load.recordActivity(now);
	}

	/**
	 * Return when the endpoint was heard of last, on any connection.
	 * @return the time, long ago if it was never heard of
	 */
	public long heardAt() {
		return this.load.lastActivityAt();
	}

	/**
	 * The endpoint told its load.
	 * @param running the requests that run
	 * @param waiting the requests that wait
	 * @param now the time
	 */
	public void report(int running, int waiting, long now) {
		this.load.report(running, waiting, now);
	}

	/**
	 * The first event of the answer came: the prompt is read to its end. Later events
	 * change nothing.
	 * @param elapsed nanoseconds from when the request was sent
	 */
	public void streamBegan(long elapsed) {
		if (this.streaming || this.ended) {
			return;
		}
		this.streaming = true;
		this.load.streamBegan();
		if (this.queuePosition.indicatesPrefillRate()) {
			this.prefillRate.observe(this.workAhead, elapsed);
		}
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
	 * Return whether an event of the answer came.
	 * @return whether the prompt is read
	 */
	public boolean isStreaming() {
		return this.streaming;
	}

	/**
	 * The request ended, with an answer or without one.
	 * @param outcome what that tells of the endpoint
	 * @param now the time
	 */
	public void end(Outcome outcome, long now) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		markPrefillDone();
		if (this.streaming) {
			this.load.streamEnded();
		}
		if (this.brief) {
			this.load.briefEnded();
		}
		this.load.end();
		outcome.apply(this.load, now);
	}

	/**
	 * Return the work that waits at the endpoint, of all VMs as far as they tell, with
	 * that of this VM which others go before.
	 * @return the work in prompt tokens
	 */
	public long waitingWork() {
		return this.load.waitingWork() + this.load.deferredWork();
	}

	/**
	 * Tell what is believed of the endpoint, for the log.
	 * @param now the time
	 * @return the belief
	 */
	public Belief belief(long now) {
		return new Belief(this.load.running(now), this.load.waitingWork(), this.load.failureRate(now));
	}

	/**
	 * What is believed of an endpoint.
	 *
	 * @param running the requests there
	 * @param waitingWork the work of those whose prompt is not read yet
	 * @param failureRate the share of answers that fail, the latest ones counting most
	 */
	public record Belief(int running, long waitingWork, double failureRate) {
	}

}
