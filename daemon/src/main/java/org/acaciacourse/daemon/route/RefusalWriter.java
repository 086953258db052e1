package org.acaciacourse.daemon.route;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.acaciacourse.daemon.http.CallerResponse;
import org.acaciacourse.daemon.http.Refusal;

/**
 * Writes the refusals of routed requests.
 * <p>
 * Thread safe: it has no state.
 */
final class RefusalWriter {

	private RefusalWriter() {
	}

	/**
	 * Refuse a request.
	 * @param dialect writes the headers
	 * @param response takes the refusal
	 * @param refusal the reason
	 */
	static void write(RequestDialect dialect, CallerResponse response, Refusal refusal) {
		HttpHeaders headers = new DefaultHttpHeaders();
		headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
		refusal.retryAfter().ifPresent((delay) -> dialect.writeRetryAfter(delay, headers));
		response.send(refusal.code().httpStatus(), headers, refusal.bytes());
	}

}
