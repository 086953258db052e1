package org.acaciacourse.daemon.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CallerLimitsTests {

	private static final String CHAT = "{\"model\":\"m1\",\"stream\":true,\"messages\":[{\"role\":\"user\"}]}";

	private static Socket connect(EntryFixture entry) throws IOException {
		Socket socket = new Socket(InetAddress.getLoopbackAddress(), entry.daemon.port());
		socket.setSoTimeout(20_000);
		return socket;
	}

	/** Write bytes and read until the server closes the connection. */
	private static String sendRaw(EntryFixture entry, String text) throws IOException {
		try (Socket socket = connect(entry)) {
			socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
			socket.getOutputStream().flush();
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
		}
	}

	@Nested
	class Malformed {

		@Test
		void malformedRequestLineIsRefusedAndClosesTheConnection() throws Exception {
			try (EntryFixture entry = EntryFixture.with().start()) {
				String response = sendRaw(entry, "GET\u0001 nonsense\r\n\r\n");
				assertThat(response).startsWith("HTTP/1.1 400");
				assertThat(response).contains("\"code\":100");
			}
		}

		@Test
		void ambiguousLengthIsRefused() throws Exception {
			try (EntryFixture entry = EntryFixture.with().start()) {
				String response = sendRaw(entry, "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
						+ "content-length: 1\r\ncontent-length: 2\r\n\r\nab");
				assertThat(response).startsWith("HTTP/1.1 400");
			}
		}

		@Test
		void invalidChatBodyIsRefused() throws Exception {
			try (EntryFixture entry = EntryFixture.with().start()) {
				for (String body : new String[] { "", "{", "[]", "{\"model\":1}", CHAT + "x", "{\"messages\":[]}" }) {
					var response = entry.send(entry.post("/v1/chat/completions", body));
					assertThat(response.statusCode()).isEqualTo(400);
					assertThat(response.body()).contains("\"code\":100");
				}
			}
		}

		@Test
		void eachUnknownNameHasItsCode() throws Exception {
			try (EntryFixture entry = EntryFixture.with().start()) {
				assertThat(entry.send(entry.post("/nowhere", "")).body()).contains("\"code\":106");
				assertThat(entry.send(entry.post("/services/none/x", "")).body()).contains("\"code\":106");
				assertThat(entry.send(entry.chat(false, "X-Request-Class", "other")).body()).contains("\"code\":104");
				assertThat(entry.send(entry.chat(false, "X-Deadline-Ms", "soon")).body()).contains("\"code\":100");
				assertThat(entry.send(entry.post("/v1/chat/completions", CHAT.replace("m1", "m2"))).body())
					.contains("\"code\":105");
				assertThat(entry.send(entry.chat(false).setHeader("Authorization", "Bearer wrong")).body())
					.contains("\"code\":103");
			}
		}

	}

	@Nested
	class Limits {

		@Test
		void bodyOverItsLimitIsRefusedBeforeItIsRead() throws Exception {
			try (EntryFixture entry = EntryFixture.with().setting("max-body = 100 B").start()) {
				String response = sendRaw(entry,
						"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 101\r\n\r\n");
				assertThat(response).startsWith("HTTP/1.1 413");
				assertThat(response).contains("\"code\":101");
			}
		}

		@Test
		void chunkedBodyOverItsLimitIsRefused() throws Exception {
			try (EntryFixture entry = EntryFixture.with().setting("max-body = 100 B").start()) {
				String response = sendRaw(entry, "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
						+ "transfer-encoding: chunked\r\n\r\n65\r\n" + "x".repeat(101) + "\r\n");
				assertThat(response).startsWith("HTTP/1.1 413");
			}
		}

		@Test
		void headersOverTheirLimitsAreRefused() throws Exception {
			try (EntryFixture entry = EntryFixture.with().start()) {
				String many = "GET / HTTP/1.1\r\n" + "a: b\r\n".repeat(101) + "\r\n";
				String large = "GET / HTTP/1.1\r\na: " + "b".repeat(40_000) + "\r\n\r\n";
				assertThat(sendRaw(entry, many)).contains("\"code\":108");
				assertThat(sendRaw(entry, large)).contains("\"code\":108");
			}
		}

		@Test
		void slowSenderIsRefused() throws Exception {
			try (EntryFixture entry = EntryFixture.with().setting("read-timeout = 200 ms").start()) {
				String response = sendRaw(entry, "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nab");
				assertThat(response).startsWith("HTTP/1.1 408");
				assertThat(response).contains("\"code\":102");
				assertThat(sendRaw(entry, "POST / HT")).contains("\"code\":102");
				assertThat(sendRaw(entry, "PR")).isEmpty();
				assertThat(sendRaw(entry, "")).isEmpty();
			}
		}

		@Test
		void connectionOverTheLimitIsRefused() throws Exception {
			try (EntryFixture entry = EntryFixture.with().setting("max-connections = 1").start();
					Socket first = connect(entry)) {
				first.getOutputStream().write("GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n".getBytes());
				assertThat(first.getInputStream().read()).isEqualTo('H');
				assertThat(sendRaw(entry, "")).contains("\"code\":208");
			}
		}

		// The caller requests a long response and does not read it. The daemon must stop
		// reading from the engine, so that the engine's writes block long before the
		// whole response is in memory. When the caller reads again, it gets every
		// token.
		@Test
		void slowCallerPausesReadingFromTheEngine() throws Exception {
			int tokens = 400_000;
			AtomicInteger written = new AtomicInteger();
			try (FakeEndpoint engine = new FakeEndpoint((call, n) -> {
				call.streamHead();
				for (int i = 0; i < tokens; i++) {
					call.token(i, i == tokens - 1);
					written.set(i);
				}
				call.done();
			}); EntryFixture entry = EntryFixture.with(engine).start(); Socket socket = connect(entry)) {
				String head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer sample\r\n"
						+ "connection: close\r\ncontent-length: " + CHAT.length() + "\r\n\r\n" + CHAT;
				socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
				while (entry.metrics().contains("acaciacourse_reads_paused_total 0.0")) {
					assertThat(written.get()).isLessThan(tokens - 1);
				}
				assertThat(written.get()).isLessThan(tokens - 1);
				String all = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
				assertThat(all).contains("t" + (tokens - 1) + " ");
				assertThat(all).contains("data: [DONE]");
			}
		}

	}

	@Nested
	class Http2 {

		@Test
		void priorKnowledgeServesConcurrentStreams() throws Exception {
			try (FakeEndpoint engine = new FakeEndpoint((call, n) -> call.stream(0, 3));
					EntryFixture entry = EntryFixture.with(engine).start();
					Http2Client client = new Http2Client(entry.daemon.port())) {
				var first = client.post("/v1/chat/completions", CHAT);
				var second = client.post("/v1/chat/completions", CHAT);
				var refused = client.post("/nowhere", "");
				for (var response : List.of(first, second)) {
					String text = response.get(20, TimeUnit.SECONDS);
					assertThat(text).startsWith("200\n");
					assertThat(EntryFixture.tokens(text)).isEqualTo("t0 t1 t2 ");
				}
				assertThat(refused.get(20, TimeUnit.SECONDS)).startsWith("404\n{\"error\":{\"code\":106");
			}
		}

	}

}
