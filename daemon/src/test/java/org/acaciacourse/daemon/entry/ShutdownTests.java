package org.acaciacourse.daemon.entry;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.core.code.ResultCode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ShutdownTests {

	private static final String CHAT = "{\"model\":\"m1\",\"stream\":true,\"messages\":[{\"role\":\"user\"}]}";

	private static CompletableFuture<ResultCode> stop(EntryFixture entry, java.util.function.BooleanSupplier force) {
		return CompletableFuture.supplyAsync(() -> {
			try {
				return entry.daemon.stop(force);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

	private static void await(CountDownLatch latch) {
		try {
			if (!latch.await(20, TimeUnit.SECONDS)) {
				throw new IllegalStateException("latch not released within 20 s");
			}
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static FakeEndpoint pausingEndpoint(CountDownLatch started, CountDownLatch proceed) throws Exception {
		return new FakeEndpoint((call, n) -> {
			call.streamHead();
			call.token(0, false);
			started.countDown();
			await(proceed);
			call.token(1, true);
			call.done();
		});
	}

	@Nested
	class Graceful {

		// The daemon is stopped in the middle of two streams, one over HTTP/1.1 and one
		// over
		// HTTP/2. It reports not ready at once and sends GOAWAY over HTTP/2; both streams
		// are completed, and only then the daemon stops.
		@Test
		void openStreamsAreCompleted() throws Exception {
			CountDownLatch started = new CountDownLatch(2);
			CountDownLatch proceed = new CountDownLatch(1);
			try (FakeEndpoint engine = pausingEndpoint(started, proceed);
					EntryFixture entry = EntryFixture.with(engine).start();
					Http2Client http2 = new Http2Client(entry.daemon.port())) {
				assertThat(entry.health("ready")).isEqualTo(200);
				var first = entry.client.sendAsync(entry.chat(true).build(), HttpResponse.BodyHandlers.ofString());
				var second = http2.post("/v1/chat/completions", CHAT);
				await(started);
				CompletableFuture<ResultCode> stopResult = stop(entry, () -> false);
				http2.goAway.get(20, TimeUnit.SECONDS);
				assertThat(entry.health("ready")).isEqualTo(503);
				assertThat(entry.health("live")).isEqualTo(200);
				assertThat(stopResult.isDone()).isFalse();
				proceed.countDown();
				assertThat(first.get(20, TimeUnit.SECONDS).body()).endsWith("data: [DONE]\n\n");
				assertThat(second.get(20, TimeUnit.SECONDS)).endsWith("data: [DONE]\n\n");
				assertThat(stopResult.get(20, TimeUnit.SECONDS)).isEqualTo(ResultCode.OK);
			}
		}

		// On a persistent connection the caller would send its next request to a VM that
		// is
		// stopping.
		@Test
		void responsesDuringShutdownCloseTheirConnection() throws Exception {
			CountDownLatch started = new CountDownLatch(1);
			CountDownLatch proceed = new CountDownLatch(1);
			try (FakeEndpoint engine = new FakeEndpoint((call, n) -> {
				started.countDown();
				await(proceed);
				call.completion(call.id(), "whole");
			}); EntryFixture entry = EntryFixture.with(engine).start()) {
				var response = entry.client.sendAsync(entry.chat(false).build(), HttpResponse.BodyHandlers.ofString());
				await(started);
				CompletableFuture<ResultCode> stopResult = stop(entry, () -> false);
				while (entry.health("ready") == 200) {
					assertThat(stopResult.isDone()).isFalse();
				}
				proceed.countDown();
				assertThat(response.get(20, TimeUnit.SECONDS).headers().firstValue("connection")).hasValue("close");
				assertThat(stopResult.get(20, TimeUnit.SECONDS)).isEqualTo(ResultCode.OK);
			}
		}

	}

	@Nested
	class Forced {

		// A second signal ends the drain: the caller gets an error event in its stream
		// and
		// no end marker, and the daemon returns the code for aborted requests.
		@Test
		void remainingRequestsAreAbortedWithACode() throws Exception {
			CountDownLatch started = new CountDownLatch(1);
			CountDownLatch never = new CountDownLatch(1);
			try (FakeEndpoint engine = pausingEndpoint(started, never);
					EntryFixture entry = EntryFixture.with(engine).start()) {
				var response = entry.client.sendAsync(entry.chat(true).build(), HttpResponse.BodyHandlers.ofString());
				await(started);
				CompletableFuture<ResultCode> stopResult = stop(entry, () -> true);
				assertThat(response.get(20, TimeUnit.SECONDS).body()).contains("\"code\":609");
				assertThat(response.get().body()).doesNotContain("[DONE]");
				assertThat(stopResult.get(20, TimeUnit.SECONDS)).isEqualTo(ResultCode.DRAIN_LIMIT);
				never.countDown();
			}
		}

	}

}
