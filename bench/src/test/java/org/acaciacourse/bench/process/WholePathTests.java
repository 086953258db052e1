package org.acaciacourse.bench.process;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.acaciacourse.bench.check.Told;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.code.RunState;
import org.acaciacourse.testkit.JavaProcess;
import org.acaciacourse.testkit.Waiting;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/**
 * Three controls, two entries, three engines and a plain service as separate processes.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class WholePathTests {

	private Cluster cluster;

	private Caller caller;

	@BeforeAll
	void start(@TempDir Path folder) {
		this.cluster = new Cluster(folder, 3, 2, 3);
		this.caller = new Caller();
		this.cluster.start();
	}

	@AfterAll
	void stop() throws Exception {
		this.caller.close();
		this.cluster.close();
	}

	@Nested
	class Served {

		@Test
		void plainAndStreamedOverHttp1AtEachEntry() {
			List<CompletableFuture<Told>> calls = new ArrayList<>();
			for (int i = 0; i < 40; i++) {
				String content = "http1 request " + i + " of the path";
				calls.add(WholePathTests.this.caller.chat(WholePathTests.this.cluster.entryAddress(i % 2), content,
						i % 4 < 2, Map.of()));
			}
			expectAllAnswered(calls);
		}

		@Test
		void plainAndStreamedOverHttp2AtEachEntry() {
			List<CompletableFuture<Told>> calls = new ArrayList<>();
			try (Http2Caller first = new Http2Caller(WholePathTests.this.cluster.entryAddress(0));
					Http2Caller second = new Http2Caller(WholePathTests.this.cluster.entryAddress(1))) {
				for (int i = 0; i < 20; i++) {
					calls.add(first.chat("http2 request " + i + " at one", i % 2 == 0));
					calls.add(second.chat("http2 request " + i + " at two", i % 2 == 0));
				}
				expectAllAnswered(calls);
			}
		}

		/*
		 * The caller posts a verdict and posts it again. Until the kept answer is
		 * committed the resend may be told that the first one is in progress; then it
		 * gets the first one's answer, and the service ran it once.
		 */
		@Test
		void plainServiceRunsAMarkedCallOnce() {
			String url = WholePathTests.this.cluster.entryAddress(0) + "/services/desk/verdicts";
			Map<String, String> headers = Map.of("Idempotency-Key", "verdict-1");
			Told first = WholePathTests.this.caller.send(url, "hired", "hired", false, headers).join();
			List<Told> resent = new ArrayList<>();
			Waiting.until("no longer in progress", () -> {
				resent.add(WholePathTests.this.caller.send(url, "hired", "hired", false, headers).join());
				return resent.get(resent.size() - 1).code() != ResultCode.CLAIM_IN_PROGRESS.number();
			});
			Told resend = resent.get(resent.size() - 1);
			assertThat(first.outcome()).isEqualTo(Told.Outcome.ANSWERED);
			assertThat(resend).isEqualTo(first);
			assertThat(WholePathTests.this.cluster.check(List.of(first, resend)).isSound()).isTrue();
		}

		private void expectAllAnswered(List<CompletableFuture<Told>> calls) {
			List<Told> told = calls.stream().map(CompletableFuture::join).toList();
			assertThat(told.stream().filter((call) -> call.outcome() != Told.Outcome.ANSWERED).toList()).isEmpty();
			assertThat(WholePathTests.this.cluster.check(told).isSound()).isTrue();
		}

	}

	@Nested
	class Refused {

		private final String address = WholePathTests.this.cluster.entryAddress(0);

		@Test
		void unknownCustomer() {
			expect(WholePathTests.this.caller.chat(this.address, "u1", false, Map.of("Authorization", "Bearer nobody")),
					ResultCode.UNKNOWN_CUSTOMER);
		}

		@Test
		void unknownClass() {
			expect(WholePathTests.this.caller.chat(this.address, "u2", false, Map.of("X-Request-Class", "none")),
					ResultCode.UNKNOWN_CLASS);
		}

		@Test
		void bodyThatIsNoJson() {
			expect(WholePathTests.this.caller.send(this.address + "/v1/chat/completions", "{", "u3", false, Map.of()),
					ResultCode.MALFORMED_REQUEST);
		}

		@Test
		void unknownPath() {
			expect(WholePathTests.this.caller.send(this.address + "/other", "{}", "u4", false, Map.of()),
					ResultCode.UNKNOWN_PATH);
		}

		@Test
		void markedRequestWithoutAKey() {
			expect(WholePathTests.this.caller.chat(this.address, "u5", false, Map.of("X-Not-Repeated", "true")),
					ResultCode.IDEMPOTENCY_KEY_REQUIRED);
		}

		private void expect(CompletableFuture<Told> call, ResultCode code) {
			Told told = call.join();
			assertThat(told.code()).isEqualTo(code.number());
			assertThat(told.run()).isEqualTo(RunState.NOT_RUN);
		}

	}

	@Nested
	class BadInput {

		@Test
		void invalidManifestIsNotApplied() {
			JavaProcess apply = WholePathTests.this.cluster.startApply("bad",
					WholePathTests.this.cluster.manifest(2, "none"));
			assertThat(apply.awaitExit()).isEqualTo(ResultCode.INVALID_MANIFEST.exitStatus());
			assertThat(apply.output()).contains(Integer.toString(ResultCode.INVALID_MANIFEST.number()));
		}

		@Test
		void invalidSettingsEndTheProcess(@TempDir Path folder) throws Exception {
			Path settings = Files.writeString(folder.resolve("entry.ini"), "[vm]\nname = e\n[entry]\nlisten = here\n");
			JavaProcess entry = JavaProcess.start(folder, "entry", "entry", "--settings", settings.toString());
			assertThat(entry.awaitExit()).isEqualTo(ResultCode.INVALID_SETTINGS.exitStatus());
			assertThat(entry.output()).contains(Integer.toString(ResultCode.INVALID_SETTINGS.number()));
		}

	}

}
