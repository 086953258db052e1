package org.acaciacourse.daemon.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class HeadScannerTests {

	private final HeadScanner scanner = new HeadScanner();

	private static ByteBuf bytes(String text) {
		return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
	}

	// Guards against a head that waits for more although it is complete.
	@ParameterizedTest
	@ValueSource(strings = { "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\nHost: h\n\n",
			"\r\n \r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\n\r\n",
			"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n" })
	void endIsFoundWithItsLastByte(String head) {
		ByteBuf input = Unpooled.buffer();
		for (int i = 0; i < head.length(); i++) {
			assertThat(this.scanner.scan(input)).isFalse();
			input.writeByte(head.charAt(i));
		}
		assertThat(this.scanner.scan(input)).isTrue();
		assertThat(input.readerIndex()).isEqualTo(0);
	}

	// Guards against a line without text that is taken for the end, so that what follows
	// is parsed uncounted.
	@ParameterizedTest
	@ValueSource(strings = { "GET / HTTP/1.1\r\nA: b\r\n\r\r\n", "GET / HTTP/1.1\r\nA: b\r\n \r\n",
			"GET / HTTP/1.1\r\nA: b\r\r\n" })
	void otherLinesAreNoEnd(String head) {
		assertThat(this.scanner.scan(bytes(head))).isFalse();
	}

	// Guards against folded lines that are copied once for each fold.
	@Test
	void foldedLinesBecomeOneLine() {
		ByteBuf input = bytes("GET / HTTP/1.1\r\nA: b\r\n c\r\n\td\r\nE: f\r\n\r\n");
		assertThat(this.scanner.scan(input)).isTrue();
		assertThat(input.toString(StandardCharsets.ISO_8859_1))
			.isEqualTo("GET / HTTP/1.1\r\nA: b   c  \td\r\nE: f\r\n\r\n");
	}

	// Guards against a request line that a line which begins with a space is added to.
	@Test
	void requestLineIsNotFolded() {
		String head = "GET / HTTP/1.1\r\n A: b\r\n\r\n";
		ByteBuf input = bytes(head);
		assertThat(this.scanner.scan(input)).isTrue();
		assertThat(input.toString(StandardCharsets.ISO_8859_1)).isEqualTo(head);
	}

	// Guards against heads of very many lines or list items that count as little as
	// others of their size.
	@Test
	void linesAndItemsCostMoreThanText() {
		long plain = cost("A: " + "b".repeat(3_000) + "\r\n");
		assertThat(cost("a:b\r\n".repeat(600))).isAtLeast(10 * plain);
		assertThat(cost("A: " + "b,".repeat(1_500) + "\r\n")).isAtLeast(10 * plain);
	}

	private long cost(String headers) {
		this.scanner.reset();
		assertThat(this.scanner.scan(bytes("GET / HTTP/1.1\r\n" + headers + "\r\n"))).isTrue();
		return this.scanner.cost();
	}

}
