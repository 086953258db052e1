package org.acaciacourse.bench.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.acaciacourse.bench.check.Told;
import org.acaciacourse.testkit.TcpProxy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/**
 * Engine processes that are killed, frozen, silenced and crashed by a request.
 */
class EngineFailureTests {

	private static final int ENGINES = 3;

	private static final int REQUESTS = 30;

	private final List<TcpProxy> proxies = new ArrayList<>();

	private Cluster cluster;

	private Caller caller;

	@BeforeEach
	void start(@TempDir Path folder) throws IOException {
		this.cluster = new Cluster(folder, 1, 2, ENGINES);
		this.cluster.engineArgs("--token-ms", "5", "--prefill-ms", "5", "--slots", "32");
		for (int i = 0; i < ENGINES; i++) {
			TcpProxy proxy = new TcpProxy(this.cluster.enginePort(i));
			this.proxies.add(proxy);
			this.cluster.reachThrough(i, proxy);
		}
		this.caller = new Caller();
		this.cluster.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.caller.close();
		this.cluster.close();
		for (TcpProxy proxy : this.proxies) {
			proxy.close();
		}
	}

	private List<CompletableFuture<Told>> send(String kind, int count, int tokens) {
		return IntStream.range(0, count)
			.mapToObj((i) -> this.caller.chat(this.cluster.entryAddress(i % 2),
					kind + " " + i + " [tokens=" + tokens + "]", i % 3 > 0, Map.of()))
			.toList();
	}

	private List<Told> expectAllAnswered(List<CompletableFuture<Told>> calls) {
		List<Told> told = calls.stream().map(CompletableFuture::join).toList();
		assertThat(told.stream().filter((call) -> call.outcome() != Told.Outcome.ANSWERED).toList()).isEmpty();
		assertThat(this.cluster.check(told).isSound()).isTrue();
		return told;
	}

	@Nested
	class Lost {

		/*
		 * Callers stream from three engines; one is killed in the middle. Its streams
		 * break, are run again elsewhere from the start, and the tokens that the callers
		 * have are left out: each answer is whole, with no token twice.
		 */
		@Test
		void streamsOfAKilledEngineAreCompletedElsewhere() {
			List<CompletableFuture<Told>> calls = send("killed", REQUESTS, 300);
			EngineFailureTests.this.cluster.awaitRuns(REQUESTS);
			EngineFailureTests.this.cluster.engine(0).kill();
			expectAllAnswered(calls);
		}

		/*
		 * An engine is stopped by the machine: its connections stay open and carry
		 * nothing. Callers wait until the entry misses the progress, asks over a new
		 * connection, gets no answer there either, and runs the request elsewhere.
		 */
		@Test
		void streamsOfAFrozenEngineAreCompletedElsewhere() {
			List<CompletableFuture<Told>> calls = send("frozen", REQUESTS, 300);
			EngineFailureTests.this.cluster.awaitRuns(REQUESTS);
			EngineFailureTests.this.cluster.engine(0).freeze();
			expectAllAnswered(calls);
		}

		/*
		 * Marked requests run on an engine that is killed. Nobody knows how far they
		 * came, so they are not run elsewhere, and no caller is told "not run".
		 */
		@Test
		void markedRequestsOfAKilledEngineRunOnce() {
			Cluster cluster = EngineFailureTests.this.cluster;
			List<CompletableFuture<Told>> calls = IntStream.range(0, REQUESTS)
				.mapToObj((i) -> EngineFailureTests.this.caller.marked(cluster.entryAddress(i % 2),
						"once " + i + " [tokens=300]", "once-" + i))
				.toList();
			cluster.awaitRuns(REQUESTS);
			cluster.engine(0).kill();
			List<Told> told = calls.stream().map(CompletableFuture::join).toList();
			assertThat(cluster.check(told).isSound()).isTrue();
			assertThat(cluster.check(told).cut()).isEmpty();
		}

	}

	@Nested
	class Silent {

		/*
		 * Something between the entries and all engines forgets every open connection at
		 * once; new connections work. Streams stop without an error. The entry misses the
		 * progress, asks for the request by its id over a new connection, and resumes it.
		 */
		@Test
		void streamsGoOnOverNewConnections() {
			List<CompletableFuture<Told>> calls = send("silent", REQUESTS, 400);
			EngineFailureTests.this.cluster.awaitRuns(REQUESTS);
			int silenced = EngineFailureTests.this.proxies.stream().mapToInt(TcpProxy::silence).sum();
			assertThat(silenced).isAtLeast(REQUESTS);
			expectAllAnswered(calls);
			expectAllAnswered(send("after", REQUESTS, 10));
		}

	}

}
