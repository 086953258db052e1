package org.acaciacourse.daemon.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * Makes trailer sections that keep nothing. The trailers of requests are not used and not
 * forwarded (RFC 9110, section 6.5.1); the decoder still bounds their size.
 * <p>
 * Thread safe: it has no state.
 */
final class DiscardedTrailersFactory implements HttpHeadersFactory {

	@Override
	public HttpHeaders newHeaders() {
		return new Discarded();
	}

	@Override
	public HttpHeaders newEmptyHeaders() {
		return new Discarded();
	}

	/** Ignores what is added. */
	private static final class Discarded extends DefaultHttpHeaders {

		@Override
		public HttpHeaders add(String name, Object value) {
			return this;
		}

		@Override
		public HttpHeaders add(CharSequence name, Object value) {
			return this;
		}

	}

}
