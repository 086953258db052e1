package org.acaciacourse.core.balance;

/**
 * Tells that an endpoint has started again before the list does: it closed all
 * connections with a request, and the next answer tells of fewer requests than these
 * were. Failures to connect and silent connections don't count: an endpoint that is cut
 * off runs on.
 * <p>
 * Not thread safe: belongs to one {@link EndpointLoad}.
 */
final class RestartSign {

	private int lost;

	private boolean allLost;

	/**
	 * Record that the endpoint closed the connection of a request.
	 * @param left how many requests of this VM are still there
	 */
	void connectionReset(int left) {
		this.lost++;
		this.allLost = left == 0;
	}

	/** Record that data arrived. */
	void dataArrived() {
		if (!this.allLost) {
			this.lost = 0;
		}
	}

	/**
	 * Process a report of the endpoint.
	 * @param requests the number of requests that it tells of
	 * @return whether the endpoint has started again
	 */
	boolean isRestart(int requests) {
		boolean restart = this.allLost && requests < this.lost;
		this.lost = 0;
		this.allLost = false;
		return restart;
	}

}
