package org.acaciacourse.daemon.memory;

import java.util.Optional;

import org.acaciacourse.core.memory.UnreadResponse;
import org.acaciacourse.core.memory.UnreadResponses;
import org.acaciacourse.daemon.http.CallerResponse;

/**
 * The response to one request, and the connection to the endpoint that it is read from.
 * Invariant: a connection is given back with reading resumed.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
public final class WatchedResponse extends UnreadResponse {

	private final ResponseMemory memory;

	private final CallerResponse response;

	private final String requestId;

	private Optional<EndpointReading> reading = Optional.empty();

	private Optional<UnreadResponses.Reason> endReason = Optional.empty();

	WatchedResponse(ResponseMemory memory, CallerResponse response, String requestId) {
		this.memory = memory;
		this.response = response;
		this.requestId = requestId;
		response.onFlush(() -> memory.flushed(this));
	}

	/**
	 * Set the connection that the response is read from.
	 * @param connection the connection
	 */
	public void readsFrom(EndpointReading connection) {
		this.reading = Optional.of(connection);
	}

	/** Nothing more of the response is read from its connection. */
	public void readingEnded() {
		if (isPaused()) {
			this.memory.readingEnded(this);
			resume();
		}
		this.reading = Optional.empty();
	}

	/**
	 * Return why the response was ended before the caller had read it.
	 * @return the reason, empty if it was not
	 */
	public Optional<UnreadResponses.Reason> endReason() {
		return this.endReason;
	}

	CallerResponse response() {
		return this.response;
	}

	String requestId() {
		return this.requestId;
	}

	boolean hasReading() {
		return this.reading.isPresent();
	}

	void pause() {
		this.reading.ifPresent(EndpointReading::pause);
	}

	void resume() {
		this.reading.ifPresent(EndpointReading::resume);
	}

	void end(UnreadResponses.Reason reason) {
		this.endReason = Optional.of(reason);
		this.response.discard();
	}

}
