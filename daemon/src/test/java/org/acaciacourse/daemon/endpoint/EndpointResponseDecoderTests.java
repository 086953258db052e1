package org.acaciacourse.daemon.endpoint;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBufHolder;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of the decoder of responses; each is read whole, and byte by byte.
 */
class EndpointResponseDecoderTests {

	private static final int MAX_BYTES = 1_000;

	private static final String LENGTH = "HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nbody";

	private static final String CHUNKED = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";

	/** Return the bodies of all responses, with a mark where decoding has failed. */
	private static String decode(String text, int bytesAtOnce) {
		EmbeddedChannel channel = new EmbeddedChannel(new EndpointResponseDecoder(MAX_BYTES, MAX_BYTES, MAX_BYTES));
		StringBuilder decoded = new StringBuilder();
		for (int i = 0; i < text.length(); i += bytesAtOnce) {
			String part = text.substring(i, Math.min(text.length(), i + bytesAtOnce));
			channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1));
		}
		for (HttpObject object = channel.readInbound(); object != null; object = channel.readInbound()) {
			describe(object, decoded);
			ReferenceCountUtil.release(object);
		}
		channel.finishAndReleaseAll();
		return decoded.toString();
	}

	private static void describe(HttpObject object, StringBuilder decoded) {
		if (object.decoderResult().isFailure()) {
			decoded.append("!");
			return;
		}
		if (object instanceof HttpResponse response) {
			decoded.append(response.status().code()).append(' ');
		}
		if (object instanceof ByteBufHolder content) {
			decoded.append(content.content().toString(StandardCharsets.ISO_8859_1));
		}
	}

	private static void assertDecodes(String text, String expected) {
		assertThat(decode(text, text.length())).isEqualTo(expected);
		assertThat(decode(text, 1)).isEqualTo(expected);
	}

	@Test
	void responsesFollowEachOther() {
		assertDecodes(LENGTH + LENGTH, "200 body200 body");
		assertDecodes("HTTP/1.1 103 X\r\nLink: a b: c\r\n\r\n" + LENGTH, "103 200 body");
		assertDecodes(CHUNKED + "0a\r\nBad Name: \r\n00;a=b\r\nSum: 1\r\n\r\n" + LENGTH, "200 Bad Name: 200 body");
		assertDecodes("HTTP/1.1 204 X\r\n\r\n" + LENGTH, "204 200 body");
	}

	// Guards against a response that the caller of the decoder takes for a valid one, and
	// against a valid one that is read out of what follows it.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 X\r\n", "HTTP/1.1 20 X\r\n", "HTTP/1.1 600 X\r\n", "HTTP/2.0 200 X\r\n",
			"HTTP/1.1 2000\r\n", "HTTP/1.1\r\n", "X\r\n", "HTTP/1.1 200 X\r\n A: b\r\n", "HTTP/1.1 200 X\r\nA B: c\r\n",
			"HTTP/1.1 200 X\r\nA\t: c\r\n", "HTTP/1.1 200 X\r\nA\u0000: c\r\n", "HTTP/1.1 200 X\r\nA\u007f: c\r\n",
			"HTTP/1.1 200 X\r\nA: b\r\nC\r\n" })
	void malformedHeadFails(String beginning) {
		assertDecodes(beginning + "Content-Length: 4\r\n\r\nbody" + LENGTH, "!");
		assertDecodes(LENGTH + beginning + "Content-Length: 4\r\n\r\nbody", "200 body!");
	}

	// Guards against a response whose trailers are cut or joined unseen.
	@ParameterizedTest
	@ValueSource(strings = { "0\r\nA B: c\r\n", "0000\r\nA: b\r\nC : d\r\n", "0;e=f\r\n A: b\r\n" })
	void malformedTrailersFail(String end) {
		assertDecodes(CHUNKED + "4\r\nbody\r\n" + end + "\r\n" + LENGTH, "200 body!");
	}

}
