package org.acaciacourse.daemon.memory;

/**
 * A connection to an endpoint from which a response is read.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
public interface EndpointReading {

	/** Read no more, until {@link #resume()}. */
	void pause();

	/** Read on. */
	void resume();

}
