package org.acaciacourse.daemon.http;

import java.util.function.BooleanSupplier;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * Encodes the responses of an HTTP/1.1 connection, those to HEAD requests without a body.
 * <p>
 * Not thread safe: belongs to the event loop of its connection.
 */
final class CallerResponseEncoder extends HttpResponseEncoder {

	private final BooleanSupplier isHeadRequest;

	/**
	 * Create an encoder.
	 * @param isHeadRequest returns whether the method of the request that is responded to
	 * is HEAD
	 */
	CallerResponseEncoder(BooleanSupplier isHeadRequest) {
		this.isHeadRequest = isHeadRequest;
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpResponse response) {
		return this.isHeadRequest.getAsBoolean() || super.isContentAlwaysEmpty(response);
	}

}
