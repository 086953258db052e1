package org.acaciacourse.bench.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.testkit.CallerCrowd;
import org.acaciacourse.testkit.FreePorts;
import org.acaciacourse.testkit.JavaProcess;
import org.acaciacourse.testkit.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests of the chat path, in a process with a small heap, while a crowd of callers sends
 * requests of legal size that cost more than their bytes, or that never end.
 */
@Timeout(value = 180, unit = TimeUnit.SECONDS)
class ChatCallersTests {

	private static final int CALLERS = 200;

	private final int port = FreePorts.next();

	private final HttpClient client = HttpClient.newHttpClient();

	private JavaProcess system;

	@BeforeEach
	void start(@TempDir Path folder) {
		this.system = JavaProcess.start(folder, "local", "local", "--port", Integer.toString(this.port));
		awaitAnswer("before the crowd");
	}

	@AfterEach
	void stop() {
		this.system.close();
	}

	private void awaitAnswer(String when) {
		Waiting.until("ordinary request answered " + when, () -> {
			assertWithMessage(this.system.ownOutput()).that(this.system.isAlive()).isTrue();
			return ask() == 200;
		});
	}

	private int ask() throws IOException, InterruptedException {
		HttpRequest request = HttpRequest
			.newBuilder(URI.create("http://127.0.0.1:" + this.port + "/v1/chat/completions"))
			.timeout(Duration.ofSeconds(30))
			.header("Authorization", "Bearer sample")
			.POST(HttpRequest.BodyPublishers
				.ofString("{\"model\":\"sample-llm-7b\",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}"))
			.build();
		return this.client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
	}

	// Guards against an entry of the chat path that runs out of memory, or keeps ordinary
	// callers out, by what a crowd sends to it.
	@ParameterizedTest
	@EnumSource
	void entryLivesAndServes(Pattern pattern) throws Exception {
		InetSocketAddress entry = new InetSocketAddress("127.0.0.1", this.port);
		try (CallerCrowd crowd = new CallerCrowd(pattern.opening, pattern.repeated, List.of(entry), CALLERS)) {
			crowd.awaitFirstRound();
			awaitAnswer("during the crowd");
		}
		awaitAnswer("after the crowd");
	}

	/** What each caller of a crowd sends: once, or on and on. */
	enum Pattern {

		/** Heads of short lines whose last line never comes. */
		UNFINISHED_HEADS("POST /v1/chat/completions HTTP/1.1\r\n" + "ab:1\r\n".repeat(5_000), ""),

		/** Large bodies whose last byte never comes. */
		LARGE_BODIES("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"
				+ "x".repeat(999_999), ""),

		/** Bodies of single bytes, without end. */
		SINGLE_BYTE_CHUNKS("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
				"1\r\nx\r\n".repeat(2_000)),

		/** Small requests one after the other, whose responses nobody reads. */
		REQUESTS_WITHOUT_READING("", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n".repeat(300));

		private final byte[] opening;

		private final byte[] repeated;

		Pattern(String opening, String repeated) {
			this.opening = opening.getBytes(StandardCharsets.ISO_8859_1);
			this.repeated = repeated.getBytes(StandardCharsets.ISO_8859_1);
		}

	}

}
