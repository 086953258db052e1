package org.acaciacourse.daemon.http;

import org.acaciacourse.core.code.ResultCode;

/**
 * Gets what callers send.
 * <p>
 * Thread safe: called on the event loops of all connections, which it must not block.
 */
public interface RequestHandler {

	/**
	 * A whole request was received.
	 * @param request the request
	 * @param response takes the answer; belongs to the calling event loop
	 */
	void handle(CallerRequest request, CallerResponse response);

	/**
	 * A request was refused while it was received.
	 * @param code the reason
	 */
	void refused(ResultCode code);

}
