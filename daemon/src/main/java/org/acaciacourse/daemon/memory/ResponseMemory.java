package org.acaciacourse.daemon.memory;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.core.code.LogRateLimiter;
import org.acaciacourse.core.memory.MemoryBudget;
import org.acaciacourse.core.memory.UnreadResponses;
import org.acaciacourse.daemon.http.CallerResponse;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * Pauses reading from endpoints and ends responses as {@link UnreadResponses} decides.
 * What a response takes is read off its connection when data was flushed to it, and at
 * each tick of the event loop while bytes wait; a response that its caller reads at once
 * costs nothing between.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
public final class ResponseMemory {

	/**
	 * The send buffer of a caller's connection. The system enlarges it to some megabytes
	 * otherwise, which no budget counts, and tells that a third of it is free only after
	 * a slow caller has long seemed to take nothing.
	 */
	public static final int SEND_BUFFER_BYTES = 64 * 1024;

	/** Some of those that end together tell enough. */
	private static final int MAX_LINES_PER_SECOND = 10;

	private final MemoryBudget budget;

	private final UnreadResponses<WatchedResponse> responses;

	private final MemoryMetrics metrics;

	private final LogRateLimiter pauseLines = new LogRateLimiter(MAX_LINES_PER_SECOND, System.nanoTime());

	private final LogRateLimiter endLines = new LogRateLimiter(MAX_LINES_PER_SECOND, System.nanoTime());

	/**
	 * Create the memory of the responses of a VM.
	 * @param budget the budget that they draw on
	 * @param options the read limit
	 * @param metrics the metrics
	 */
	public ResponseMemory(MemoryBudget budget, MemoryOptions options, MemoryMetrics metrics) {
		this.budget = budget;
		this.responses = new UnreadResponses<>(budget, options.readLimit().toNanos());
		this.metrics = metrics;
	}

	/**
	 * Watch a response from its start on, until all of it was sent or its connection is
	 * closed.
	 * @param response the response
	 * @param requestId the id of the request
	 * @return the watched response
	 */
	public WatchedResponse watch(CallerResponse response, String requestId) {
		return new WatchedResponse(this, response, requestId);
	}

	void flushed(WatchedResponse watched) {
		long now = System.nanoTime();
		observe(watched, now);
		if (watched.hasReading() && !watched.isPaused() && this.responses.pauses(watched)) {
			watched.pause();
			this.metrics.paused();
			this.pauseLines.tryAcquire(now)
				.ifPresent((untold) -> DecisionLog.write(LogEvent.READING_PAUSED, watched.requestId(), watched.unread(),
						this.responses.waiting().size(), this.budget.used(), this.budget.limit(), untold));
			watched.response().whenTaken(() -> taken(watched));
		}
	}

	private void taken(WatchedResponse watched) {
		observe(watched, System.nanoTime());
		if (this.responses.resumes(watched)) {
			watched.resume();
		}
	}

	private void observe(WatchedResponse watched, long now) {
		this.responses.observe(watched, watched.response().unread(), watched.response().taken(), now);
	}

	void readingEnded(WatchedResponse watched) {
		this.responses.sourceEnded(watched);
	}

	/** Look at the responses that wait; called at each tick of the event loop. */
	public void tick() {
		if (this.responses.waiting().isEmpty()) {
			return;
		}
		long now = System.nanoTime();
		List.copyOf(this.responses.waiting()).forEach((watched) -> observe(watched, now));
		for (UnreadResponses.Action<WatchedResponse> action : this.responses.decide(now)) {
			if (action.end().isPresent()) {
				end(action, now);
			}
			else {
				action.response().resume();
			}
		}
	}

	private void end(UnreadResponses.Action<WatchedResponse> action, long now) {
		UnreadResponses.Reason reason = action.end().get();
		WatchedResponse watched = action.response();
		this.metrics.ended(reason);
		this.endLines.tryAcquire(now)
			.ifPresent((untold) -> DecisionLog.write(LogEvent.RESPONSE_UNREAD, watched.requestId(), reason.label(),
					action.unread(), TimeUnit.NANOSECONDS.toMillis(action.idleNanos()), this.budget.used(),
					this.budget.limit(), untold));
		watched.end(reason);
	}

	/** Publish what is held; called once a second. */
	public void publish() {
		this.metrics.publish(this.budget, this.responses.waiting().size(),
				(int) this.responses.waiting().stream().filter(WatchedResponse::isPaused).count());
	}

}
