package org.acaciacourse.engine;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collections;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link Engine}.
 */
class EngineTests {

	private final ObjectMapper mapper = new ObjectMapper();

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private Engine engine;

	@BeforeEach
	void start() {
		EngineOptions.Pace pace = EngineOptions.Pace.of(1, 1, 4);
		this.engine = Engine
			.start(new EngineOptions("127.0.0.1", 0, Set.of("m"), pace, true, true, 0, "", Optional.empty()));
	}

	@AfterEach
	void stop() {
		this.engine.close();
	}

	private HttpResponse<String> send(String method, String path, String body, String... headers)
			throws IOException, InterruptedException {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(this.engine.address() + path))
			.timeout(Duration.ofSeconds(30))
			.method(method, HttpRequest.BodyPublishers.ofString(body));
		if (headers.length > 0) {
			request.headers(headers);
		}
		return this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	private HttpResponse<String> ask(String text, boolean stream, String... headers)
			throws IOException, InterruptedException {
		String body = "{\"model\":\"m\",\"stream\":" + stream + ",\"messages\":[{\"role\":\"user\",\"content\":\""
				+ text + "\"}]}";
		return send("POST", "/v1/chat/completions", body, headers);
	}

	@Nested
	class Stop {

		private static final int WORDS = 40;

		private static final String WORD = "w".repeat(100_000);

		// The caller is slow, or the machine is: the engine has finished its answer, and
		// most of its bytes are not taken yet when the engine is told to stop. The caller
		// must get them all.
		@Test
		void answerThatIsNotTakenYetIsNotCut() throws Exception {
			String body = "{\"model\":\"m\",\"stream\":false,\"messages\":[{\"role\":\"user\",\"content\":\""
					+ String.join(" ", Collections.nCopies(WORDS, WORD)) + "\"}]}";
			try (Socket socket = new Socket()) {
				socket.setReceiveBufferSize(4096);
				socket.connect(new InetSocketAddress("127.0.0.1", EngineTests.this.engine.port()));
				socket.setSoTimeout(30_000);
				socket.getOutputStream()
					.write(("POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nX-Request-Id: a1\r\nContent-Length: "
							+ body.length() + "\r\n\r\n" + body)
						.getBytes(StandardCharsets.US_ASCII));
				InputStream in = socket.getInputStream();
				assertThat(in.read()).isEqualTo('H');
				Thread closer = new Thread(EngineTests.this.engine::close);
				closer.start();
				String batch = "engine-batch-" + EngineTests.this.engine.port();
				while (Thread.getAllStackTraces().keySet().stream().anyMatch((t) -> t.getName().equals(batch))) {
					Thread.onSpinWait();
				}
				long letters = 0;
				for (byte b : in.readAllBytes()) {
					letters += (b == 'w') ? 1 : 0;
				}
				assertThat(letters).isAtLeast((long) WORDS * WORD.length());
				closer.join();
			}
		}

	}

	@Nested
	class Answers {

		@Test
		void plainRepeatsTheMessageUnderTheIdOfTheAttempt() throws Exception {
			HttpResponse<String> response = ask("one two three", false, "X-Request-Id", "a1");
			JsonNode json = EngineTests.this.mapper.readTree(response.body());
			assertThat(response.headers().firstValue("X-Request-Id")).hasValue("a1");
			assertThat(json.path("id").asText()).isEqualTo("a1");
			assertThat(json.at("/choices/0/message/content").asText()).isEqualTo("one two three");
			assertThat(json.at("/usage/completion_tokens").asInt()).isEqualTo(3);
		}

		@Test
		void streamNumbersItsTokensAndEnds() throws Exception {
			String text = ask("one [tokens=5]", true, "X-Request-Id", "a2").body();
			assertThat(text).contains("id: 4\ndata: {\"id\":\"a2\"");
			assertThat(text).doesNotContain("id: 5\n");
			assertThat(text).endsWith("data: [DONE]\n\n");
		}

		@Test
		void resumeGoesOnAfterTheTokensPassedOn() throws Exception {
			ask("one two three", true, "X-Request-Id", "a3");
			String rest = ask("one two three", true, "X-Request-Id", "a4", "X-Resume-Of", "a3", "X-Resume-From", "2")
				.body();
			assertThat(rest).startsWith("id: 2\ndata: {\"id\":\"a4\"");
			assertThat(rest).endsWith("data: [DONE]\n\n");
			assertThat(ask("x", true, "X-Resume-Of", "none", "X-Resume-From", "0").statusCode()).isEqualTo(409);
		}

		@Test
		void cancelledRequestIsToldAsSuch() throws Exception {
			ask("one", false, "X-Request-Id", "a5");
			JsonNode json = EngineTests.this.mapper.readTree(send("POST", "/v1/requests/a5/cancel", "").body());
			assertThat(json.path("state").asText()).isEqualTo("finished");
			assertThat(send("GET", "/v1/requests/other", "").body()).contains("unknown");
		}

		@Test
		void runsAreListedWithTheirKey() throws Exception {
			send("POST", "/verdicts", "yes", "X-Request-Id", "s1", "Idempotency-Key", "k1");
			assertThat(send("GET", "/runs", "").body())
				.contains("{\"id\":\"s1\",\"key\":\"k1\",\"content\":\"yes\",\"count\":1");
		}

		@Test
		void loadReportTellsWhenTheEngineStarted() throws Exception {
			long now = System.currentTimeMillis();
			JsonNode load = EngineTests.this.mapper.readTree(send("GET", "/load", "").body());
			assertThat(load.path("started_ms").asLong()).isAtMost(now);
			assertThat(load.path("started_ms").asLong()).isGreaterThan(0);
		}

		@Test
		void oldFencingNumberIsRefused() throws Exception {
			assertThat(order(5, "m2").statusCode()).isEqualTo(200);
			assertThat(order(4, "m3").statusCode()).isEqualTo(409);
			assertThat(send("GET", "/v1/models", "").body()).doesNotContain("m3");
		}

		private HttpResponse<String> order(int fencing, String model) throws Exception {
			return send("POST", "/orders",
					"{\"fencing\":" + fencing + ",\"order\":\"load\",\"subject\":\"" + model + "\"}");
		}

	}

	@Nested
	class SwitchedFaults {

		@Test
		void truncatedStreamHasNoEnd() throws Exception {
			send("POST", "/faults", "{\"truncate\":true}");
			String seen;
			try {
				seen = ask("one two three four", true).body();
			}
			catch (IOException ex) {
				seen = "";
			}
			assertThat(seen).doesNotContain("[DONE]");
		}

		@Test
		void swappedAnswerCarriesTheIdOfTheRequestBefore() throws Exception {
			ask("first", false, "X-Request-Id", "b1");
			send("POST", "/faults", "{\"swap\":true}");
			String body = ask("second", false, "X-Request-Id", "b2").body();
			assertThat(body).contains("b1");
			assertThat(body).contains("first");
		}

	}

	@Nested
	class Cache {

		@Test
		void dropsTheLeastRecentlyUsedOverItsMemoryLimit() {
			PrefixCache cache = new PrefixCache(100, 0);
			cache.use("p1", 60, 1);
			cache.use("p2", 60, 2);
			assertThat(cache.use("p2", 60, 3)).isTrue();
			assertThat(cache.use("p1", 60, 4)).isFalse();
			assertThat(cache.eventsSince(0, 5).path("events")).hasSize(5);
		}

		@Test
		void markerSetsTheLength() {
			assertThat(AnswerText.tokens("a b [tokens=2]", OptionalInt.of(9))).containsExactly("a ", "b ").inOrder();
			assertThat(AnswerText.tokens("a b", OptionalInt.of(4))).containsExactly("a ", "b", " t2", " t3").inOrder();
		}

	}

}
