package org.acaciacourse.daemon.route;

import java.util.Set;

import org.acaciacourse.core.balance.PlacedRequest;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.scaling.DemandCounter;

/**
 * What one request adds to the demand for its pool: it counts once, when it is first
 * placed on an endpoint or refused, however often it is sent.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class RequestDemand {

	/** The results of requests that more endpoints would have served. */
	private static final Set<ResultCode> LACK_OF_CAPACITY = Set.of(ResultCode.NO_ENDPOINT,
			ResultCode.TARGET_UNREACHABLE, ResultCode.QUEUE_FULL, ResultCode.SHED);

	private final DemandCounter counter;

	private final RoutedRequest request;

	private final long startedAt;

	private boolean placed;

	private boolean begun;

	private boolean ended;

	/** What it holds at endpoints, prompt and events. */
	private long heldTokens;

	RequestDemand(DemandCounter counter, RoutedRequest request, long startedAt) {
		this.counter = counter;
		this.request = request;
		this.startedAt = startedAt;
	}

	/**
	 * The request is placed on an endpoint.
	 * @param attempt what it adds to the load there
	 * @return the same
	 */
	PlacedRequest placed(PlacedRequest attempt) {
		if (!this.placed) {
			this.placed = true;
			this.heldTokens = attempt.work();
			this.counter.sent(this.request.pool(), this.heldTokens, System.nanoTime());
		}
		return attempt;
	}

	/** An endpoint has begun to answer. */
	void answerBegan() {
		if (!this.begun) {
			this.begun = true;
			long now = System.nanoTime();
			this.counter.answerBegan(this.request.pool(), now - this.startedAt, this.request.route().target().toNanos(),
					now);
		}
	}

	/** An event is forwarded. */
	void eventForwarded() {
		this.heldTokens++;
		this.counter.eventForwarded(this.request.pool(), System.nanoTime());
	}

	/** The request has ended: it holds nothing any more. */
	void ended() {
		if (!this.ended) {
			this.ended = true;
			this.counter.released(this.request.pool(), this.heldTokens, System.nanoTime());
		}
	}

	/**
	 * The request has ended without an answer.
	 * @param code the reason
	 */
	void failed(ResultCode code) {
		if (LACK_OF_CAPACITY.contains(code)) {
			this.counter.refused(this.request.pool(), System.nanoTime());
		}
	}

}
