package org.acaciacourse.daemon.http;

import org.acaciacourse.core.memory.IncomingRequest;

/**
 * What a connection or an HTTP/2 stream holds of the request that it receives.
 * <p>
 * Not thread safe: belongs to the event loop of its connection.
 */
final class HeldRequest extends IncomingRequest {

	private final Runnable refusal;

	/**
	 * Create a request of which nothing is held.
	 * @param refusal refuses it in favour of others
	 */
	HeldRequest(Runnable refusal) {
		this.refusal = refusal;
	}

	void refuse() {
		this.refusal.run();
	}

}
