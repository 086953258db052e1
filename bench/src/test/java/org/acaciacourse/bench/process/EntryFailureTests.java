package org.acaciacourse.bench.process;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.acaciacourse.bench.check.DeliveryReport;
import org.acaciacourse.bench.check.Told;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.testkit.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/**
 * Entry processes that are killed and restarted.
 */
class EntryFailureTests {

	private static final int REQUESTS = 20;

	private Cluster cluster;

	private Caller caller;

	@BeforeEach
	void start(@TempDir Path folder) {
		this.cluster = new Cluster(folder, 3, 2, 2);
		this.caller = new Caller();
		this.cluster.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.caller.close();
		this.cluster.close();
	}

	private static String content(String kind, int number) {
		return kind + " " + number + " [tokens=300]";
	}

	private static List<Told> join(List<CompletableFuture<Told>> calls) {
		return calls.stream().map(CompletableFuture::join).toList();
	}

	@Nested
	class Killed {

		/*
		 * Callers of twenty marked and twenty unmarked requests see their connections
		 * break: the entry VM is killed after the endpoints began to run them. They send
		 * all again to the other VM. The claims were committed before the requests were
		 * sent, so the marked ones are not run again; the unmarked ones are answered.
		 */
		@Test
		void resentMarkedRequestsDoNotRunAgain() {
			Cluster cluster = EntryFailureTests.this.cluster;
			List<CompletableFuture<Told>> first = sendAll(cluster.entryAddress(0));
			cluster.awaitRuns(2 * REQUESTS);
			cluster.entry(0).kill();
			List<Told> told = new ArrayList<>(join(first));
			List<Told> resent = join(sendAll(cluster.entryAddress(1)));
			told.addAll(resent);
			DeliveryReport report = cluster.check(told);
			assertThat(report.doubleRuns()).isEmpty();
			assertThat(report.wrongAnswers()).isEmpty();
			assertThat(report.falseNotRun()).isEmpty();
			assertThat(resent.stream().filter((call) -> call.idempotencyKey().isEmpty()).map(Told::outcome).distinct())
				.containsExactly(Told.Outcome.ANSWERED);
		}

		/*
		 * The caller of a marked request whose VM was killed asks again until it gets a
		 * final word. Control ends the claims of a VM that it no longer hears, so the
		 * word is that the outcome is unknown, and not "in progress" for ever.
		 */
		@Test
		void claimOfADeadVmBecomesUnknown() {
			Cluster cluster = EntryFailureTests.this.cluster;
			Caller caller = EntryFailureTests.this.caller;
			String content = content("verdict", 1);
			CompletableFuture<Told> first = caller.marked(cluster.entryAddress(0), content, "verdict-1");
			cluster.awaitRuns(1);
			cluster.entry(0).kill();
			List<Told> told = new ArrayList<>(List.of(first.join()));
			Waiting.until("outcome unknown", () -> {
				Told again = caller.marked(cluster.entryAddress(1), content, "verdict-1").join();
				told.add(again);
				return again.code() == ResultCode.CLAIM_OUTCOME_UNKNOWN.number();
			});
			assertThat(cluster.check(told).isSound()).isTrue();
		}

		private List<CompletableFuture<Told>> sendAll(String address) {
			Caller caller = EntryFailureTests.this.caller;
			return IntStream.range(0, REQUESTS)
				.boxed()
				.flatMap((i) -> Stream.of(caller.marked(address, content("marked", i), "key-" + i),
						caller.chat(address, content("plain", i), false, Map.of())))
				.toList();
		}

	}

	@Nested
	class Restarted {

		/*
		 * Callers stream all the while. Each entry VM in turn gets SIGTERM, is taken out
		 * by the balancer when it says that it is not ready, finishes its streams and is
		 * started again. No caller notices.
		 */
		@Test
		void rollingRestartCutsNothing() {
			Cluster cluster = EntryFailureTests.this.cluster;
			List<Told> told;
			try (SteadyLoad load = new SteadyLoad(cluster, EntryFailureTests.this.caller)) {
				for (int i = 0; i < 2; i++) {
					load.awaitAnswers(20);
					cluster.entry(i).terminate();
					assertThat(cluster.entry(i).awaitExit()).isEqualTo(0);
					cluster.startEntry(i);
					cluster.awaitEntry(i);
				}
				load.awaitAnswers(20);
				told = load.stop();
			}
			assertThat(told.stream().filter((call) -> call.outcome() != Told.Outcome.ANSWERED).toList()).isEmpty();
			assertThat(cluster.check(told).isSound()).isTrue();
		}

	}

}
