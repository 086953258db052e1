package org.acaciacourse.daemon.http;

import org.acaciacourse.core.code.ResultCode;

/**
 * Handles the requests of callers.
 * <p>
 * Thread safe: called on the event loops of all connections, which must not be blocked.
 */
public interface RequestHandler {

	/**
	 * Called when a request has been received completely.
	 * @param request the request
	 * @param response the response to write; belongs to the calling event loop
	 */
	void handle(CallerRequest request, CallerResponse response);

	/**
	 * Called when a request or a connection was refused before a request was complete.
	 * @param code the reason
	 */
	void refused(ResultCode code);

}
