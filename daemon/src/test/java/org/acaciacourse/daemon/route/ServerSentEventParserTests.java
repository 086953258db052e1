package org.acaciacourse.daemon.route;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class ServerSentEventParserTests {

	private static final String STREAM = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\nid: 9x\ndata: d\n\n";

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 5, 7, 1000 })
	void eventsAreTheSameHoweverTheBytesArrive(int size) {
		ServerSentEventParser frames = new ServerSentEventParser();
		List<String> events = new ArrayList<>();
		List<OptionalLong> ids = new ArrayList<>();
		byte[] all = bytes(STREAM);
		for (int from = 0; from < all.length; from += size) {
			frames.feed(java.util.Arrays.copyOfRange(all, from, Math.min(all.length, from + size)));
			for (ServerSentEventParser.Event event = frames.next(); event != null; event = frames.next()) {
				events.add(new String(event.bytes(), StandardCharsets.UTF_8));
				ids.add(event.id());
			}
		}
		assertThat(String.join("", events)).isEqualTo(STREAM);
		assertThat(ids)
			.containsExactly(OptionalLong.of(1), OptionalLong.of(2), OptionalLong.empty(), OptionalLong.empty())
			.inOrder();
		assertThat(frames.isWithinEvent()).isFalse();
	}

	@Test
	void truncatedEventIsDetected() {
		ServerSentEventParser frames = new ServerSentEventParser();
		frames.feed(bytes("id: 1\ndata: a\n\nid: 2\nda"));
		assertThat(frames.next().id()).isEqualTo(OptionalLong.of(1));
		assertThat(frames.next()).isNull();
		assertThat(frames.isWithinEvent()).isTrue();
	}

	@Test
	void tooLongEventIsRejected() {
		assertThat(new ServerSentEventParser().feed(new byte[ServerSentEventParser.MAX_EVENT_BYTES + 1])).isFalse();
	}

}
