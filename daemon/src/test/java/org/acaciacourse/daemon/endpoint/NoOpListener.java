package org.acaciacourse.daemon.endpoint;

/**
 * Ignores all events of a call.
 * <p>
 * Thread safe: it has no state.
 */
class NoOpListener implements EndpointCall.Listener {

	@Override
	public void readingPaused() {
	}

	@Override
	public void headReceived(EndpointCall from, EndpointCall.Head head) {
	}

	@Override
	public void chunksAvailable(EndpointCall from) {
	}

	@Override
	public void callEnded(EndpointCall from, boolean whole) {
	}

}
