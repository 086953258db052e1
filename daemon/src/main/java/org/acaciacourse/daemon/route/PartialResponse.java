package org.acaciacourse.daemon.route;

import java.io.ByteArrayOutputStream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * The kind of an endpoint's response and the part of it received so far.
 * <p>
 * Not thread safe: belongs to the event loop of its request.
 */
final class PartialResponse {

	/**
	 * The largest response body that is buffered; streams are forwarded as they arrive.
	 */
	private static final int MAX_BODY_BYTES = 32 * 1024 * 1024;

	final ServerSentEventParser parser = new ServerSentEventParser();

	final ByteArrayOutputStream body = new ByteArrayOutputStream(0);

	Mode mode = Mode.NO_HEAD;

	int status;

	HttpHeaders headers;

	void start(Mode next, HttpResponse head) {
		this.mode = next;
		this.status = head.status().code();
		this.headers = HopByHopHeaders.endToEnd(head.headers());
	}

	boolean collect(ByteBuf bytes) {
		if (this.body.size() + bytes.readableBytes() > MAX_BODY_BYTES) {
			return false;
		}
		this.body.writeBytes(ByteBufUtil.getBytes(bytes));
		return true;
	}

	enum Mode {

		NO_HEAD, NOT_RUN, STREAM, BUFFERED

	}

}
