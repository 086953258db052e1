package org.acaciacourse.core.admission;

/**
 * Takes over what a request that was sent shows of the time that requests take.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public interface SentRequest {

	/** Of a request that nothing is learned from. */
	SentRequest IGNORED = new SentRequest() {
		@Override
		public void firstEvent(long elapsed) {
		}

		@Override
		public void ended(boolean answered, boolean waited, long now) {
		}
	};

	/**
	 * The first event of a stream arrived; called once at most, before the end.
	 * @param elapsed nanoseconds since the request was sent
	 */
	void firstEvent(long elapsed);

	/**
	 * The request ended; called once.
	 * @param answered whether the answer is complete
	 * @param waited whether it waited at its endpoint until its caller gave up
	 * @param now the time
	 */
	void ended(boolean answered, boolean waited, long now);

}
