package org.acaciacourse.core.share;

import java.time.Duration;

/**
 * The work of one request, charged to its customer. It is charged by the mean of others
 * when the request is queued, then by what its headers and its endpoint's cache tell, and
 * corrected at the end by what was seen. Headers may be false: figures are bounded by the
 * pool's KV cache, and the part for the response by the events in the end. Invariant:
 * after a request that was not run, nothing of it is charged.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
public final class RequestWork {

	/** A decode step of a full batch takes as long as this prefill for each response. */
	private static final long WORK_PER_OUTPUT_TOKEN = 10;

	/**
	 * Prefills even the shortest prompt: a request with false figures isn't free.
	 */
	private static final long MIN_WORK = 100;

	/** An engine with 24 slots prefills some 93 tokens per millisecond. */
	static final double WORK_PER_SLOT_NANO = 4.0 / Duration.ofMillis(1).toNanos();

	private final PoolShares shares;

	private final int key;

	private final boolean overShare;

	private boolean queued;

	private boolean atEngine;

	private boolean begun;

	private double charged;

	private long chargedAt;

	private double prefill;

	private double finished;

	private long events;

	private double slotShare;

	private long placedAt;

	RequestWork(PoolShares shares, int key, boolean overShare) {
		this.shares = shares;
		this.key = key;
		this.overShare = overShare;
	}

	/**
	 * Return whether the request goes behind the other ones of its rank.
	 * @return whether it is over its customer's share
	 */
	public boolean isOverShare() {
		return this.overShare;
	}

	/**
	 * The request waits for an endpoint, for the first time or for another attempt. Each
	 * attempt is charged.
	 * @param now the time
	 */
	public void queued(long now) {
		if (!this.queued) {
			this.queued = true;
			this.charged = this.shares.meanWork();
			this.chargedAt = now;
			this.prefill = this.charged;
			this.finished = 0;
			this.events = 0;
			this.begun = false;
			this.shares.charge(this.key, this.charged, now);
		}
	}

	/**
	 * The request was placed at an engine.
	 * @param uncachedTokens the tokens of its prompt that aren't in the engine's cache, 0
	 * if they aren't known
	 * @param outputTokens the maximum number of tokens of the response, 0 if unknown
	 * @param cacheTokens the capacity of the engine's KV cache, which bounds both
	 * @param now the time
	 */
	public void placedAtEngine(long uncachedTokens, long outputTokens, long cacheTokens, long now) {
		this.atEngine = true;
		this.prefill = Math.max(MIN_WORK, Math.min(uncachedTokens, cacheTokens));
		correct(this.prefill + WORK_PER_OUTPUT_TOKEN * Math.max(0, Math.min(outputTokens, cacheTokens)), now);
	}

	/**
	 * The request was placed at a plain endpoint.
	 * @param running the requests there, with this one
	 * @param slots how many of them it serves at the same time
	 * @param now the time
	 */
	public void placedAtService(int running, int slots, long now) {
		this.atEngine = false;
		this.placedAt = now;
		// The others are served first: of its time there, this is the part in a slot.
		this.slotShare = Math.min(1, (double) slots / Math.max(1, running));
	}

	/**
	 * The response has begun, which shows that the prompt is prefilled.
	 * @param now the time
	 */
	public void began(long now) {
		this.begun = true;
		if (this.atEngine) {
			finish(this.prefill, now);
		}
	}

	/** An event of the response was forwarded. */
	public void eventForwarded() {
		this.events++;
	}

	/**
	 * The attempt ended, or its request did before it was placed.
	 * @param run whether an endpoint has run it
	 * @param now the time
	 */
	public void ended(boolean run, long now) {
		if (!this.queued) {
			return;
		}
		this.queued = false;
		double work = (run) ? seen(now) : 0;
		correct(work, now);
		if (run) {
			// A prompt that nothing has followed may still wait at its engine.
			finish((this.begun || !this.atEngine) ? work : 0, now);
			this.shares.ended(work);
		}
	}

	private double seen(long now) {
		return (this.atEngine) ? this.prefill + WORK_PER_OUTPUT_TOKEN * this.events
				: this.slotShare * WORK_PER_SLOT_NANO * (now - this.placedAt);
	}

	private void finish(double work, long now) {
		if (work > this.finished) {
			this.shares.finished(work - this.finished, now);
			this.finished = work;
		}
	}

	// What was charged has decayed since, and so has the difference.
	private void correct(double work, long now) {
		this.shares.charge(this.key, (work - this.charged) * RecentWork.remaining(now - this.chargedAt), now);
		this.charged = work;
	}

}
