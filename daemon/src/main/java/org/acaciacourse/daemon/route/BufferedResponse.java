package org.acaciacourse.daemon.route;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete response of an endpoint.
 * <p>
 * Not thread safe: belongs to the event loop of its request.
 *
 * @param status the HTTP status
 * @param headers the headers that are forwarded
 * @param body the body
 */
record BufferedResponse(int status, HttpHeaders headers, byte[] body) {

	boolean isSuccess() {
		return this.status / 100 == 2;
	}

}
