package org.acaciacourse.core.speed;

import java.util.OptionalDouble;

/**
 * What one request shows of the speed of its endpoint: the time to its first event, the
 * gaps between its events, and the duration of a plain answer. The pace that the endpoint
 * stated meanwhile is divided out; a time in which it changed shows nothing.
 * <p>
 * Not thread safe: belongs to the request.
 */
public final class SpeedObservation {

	/**
	 * Shorter waits depend on the duration of a batch step rather than on the prefill
	 * rate.
	 */
	private static final long MIN_WORK = 5_000;

	/** Fewer gaps show the chunks of a prefill rather than the speed. */
	private static final int MIN_GAPS = 4;

	/**
	 * By how much each running request prolongs a batch step, as a fraction of that of an
	 * idle engine: 0.18 ms of 3.5 ms.
	 */
	private static final double STEP_PER_REQUEST = 0.05;

	/** A larger factor between two stated paces is a change of pace. */
	private static final double MAX_PACE_CHANGE = 1.5;

	private final EndpointSpeed endpoint;

	private final Work work;

	private final long beganAt;

	private final OptionalDouble firstPace;

	private OptionalDouble streamPace = OptionalDouble.empty();

	private long firstEvent;

	private long lastEvent;

	private int events;

	SpeedObservation(EndpointSpeed endpoint, Work work, long now) {
		this.endpoint = endpoint;
		this.work = work;
		this.beganAt = now;
		this.firstPace = endpoint.pace(now);
	}

	/**
	 * Record an event of the response.
	 * @param elapsed nanoseconds since the request was sent
	 */
	public void eventReceived(long elapsed) {
		if (this.events == 0) {
			this.firstEvent = elapsed;
			prefilled(elapsed);
		}
		this.events++;
		this.lastEvent = elapsed;
	}

	private void prefilled(long elapsed) {
		long now = this.beganAt + elapsed;
		this.streamPace = this.endpoint.pace(now);
		if (this.work.queued() && this.work.ahead() >= MIN_WORK) {
			took(WorkKind.PREFILL, this.work.ahead(), elapsed, this.firstPace, this.streamPace);
		}
	}

	/**
	 * Record that the request ended with a complete response.
	 * @param now the time
	 */
	public void completed(long now) {
		if (this.events > MIN_GAPS) {
			double gap = (double) (this.lastEvent - this.firstEvent) / (this.events - 1);
			took(WorkKind.EVENT_GAP, 1 + STEP_PER_REQUEST * this.work.running(), gap, this.streamPace,
					this.endpoint.pace(now));
		}
		else if (this.events == 0 && this.work.plain()) {
			double turns = Math.max(1, (double) this.work.running() / this.work.slots());
			took(WorkKind.PLAIN_ANSWER, turns, now - this.beganAt, this.firstPace, this.endpoint.pace(now));
		}
	}

	private void took(WorkKind kind, double units, double nanos, OptionalDouble before, OptionalDouble after) {
		if (!this.endpoint.isObserved() || nanos <= 0) {
			return;
		}
		double start = before.orElse(after.orElse(1));
		double end = after.orElse(start);
		if (Math.max(start, end) <= MAX_PACE_CHANGE * Math.min(start, end)) {
			this.endpoint.took(kind, units, nanos / Math.sqrt(start * end), this.beganAt + Math.round(nanos));
		}
	}

	/**
	 * A request at an endpoint.
	 *
	 * @param ahead the prompt tokens that wait there, including its own
	 * @param queued whether all of them are prefilled before its first event
	 * @param plain whether it has no prompt
	 * @param running the requests that run there, including this one
	 * @param slots how many can run at once
	 */
	public record Work(long ahead, boolean queued, boolean plain, int running, int slots) {
	}

}
