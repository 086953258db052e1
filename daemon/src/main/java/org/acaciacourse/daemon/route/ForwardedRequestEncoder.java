package org.acaciacourse.daemon.route;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;

/**
 * Writes the target of a request with the bytes that the caller sent, of which the
 * decoder made one character each. The encoder of the library writes each one above 127
 * as two bytes.
 * <p>
 * Not thread safe: belongs to the event loop of its connection.
 */
final class ForwardedRequestEncoder extends HttpRequestEncoder {

	@Override
	protected void encodeInitialLine(ByteBuf out, HttpRequest request) {
		String line = request.method().name() + ' ' + request.uri() + ' ' + request.protocolVersion().text() + "\r\n";
		out.writeCharSequence(line, StandardCharsets.ISO_8859_1);
	}

}
