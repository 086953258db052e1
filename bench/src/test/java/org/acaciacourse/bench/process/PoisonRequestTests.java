package org.acaciacourse.bench.process;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.acaciacourse.bench.check.Ran;
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
 * A request that crashes each engine that runs it.
 */
class PoisonRequestTests {

	private static final String POISON = "poison";

	/** Within the deadline, and out of reach of what a starved stand-in loses. */
	private static final String TARGET = "40 s";

	private Cluster cluster;

	private Caller caller;

	private final ScheduledExecutorService platform = Executors.newSingleThreadScheduledExecutor();

	@BeforeEach
	void start(@TempDir Path folder) {
		this.cluster = new Cluster(folder, 1, 2, 3);
		this.cluster.engineArgs("--token-ms", "5", "--prefill-ms", "5", "--slots", "32", "--crash-marker", POISON);
		this.cluster.firstTokenTarget(TARGET);
		this.caller = new Caller();
		this.cluster.start();
	}

	@AfterEach
	void stop() throws Exception {
		// First the platform: else it would start an engine again that was just ended.
		this.platform.shutdownNow();
		this.platform.awaitTermination(1, TimeUnit.MINUTES);
		this.caller.close();
		this.cluster.close();
	}

	private List<CompletableFuture<Told>> sendInnocent() {
		return IntStream.range(0, 200)
			.mapToObj((i) -> this.caller.chat(this.cluster.entryAddress(i % 2), "innocent " + i + " [tokens=100]",
					i % 3 > 0, Map.of()))
			.toList();
	}

	@Nested
	class Resent {

		/*
		 * A request crashes each engine that runs it, and its caller sends it again to
		 * either entry VM until it is refused for good. Two hundred innocent requests run
		 * beside it, engines are restarted by their platform. At most two engines crash,
		 * and all innocent callers get their answers.
		 */
		@Test
		void crashesTwoEnginesAtMostAndHarmsNobodyElse() {
			Cluster cluster = PoisonRequestTests.this.cluster;
			PoisonRequestTests.this.platform.scheduleWithFixedDelay(cluster::restartDeadEngines, 0, 200,
					TimeUnit.MILLISECONDS);
			List<CompletableFuture<Told>> innocent = sendInnocent();
			sendUntilRefused(0);
			sendUntilRefused(1);
			List<Told> told = innocent.stream().map(CompletableFuture::join).toList();
			assertThat(told.stream().filter((call) -> call.outcome() != Told.Outcome.ANSWERED).toList()).isEmpty();
			assertThat(cluster.check(told).isSound()).isTrue();
			assertThat(cluster.ran().stream().map(Ran::content).filter(POISON::equals).count()).isAtMost(2);
		}

		private void sendUntilRefused(int entry) {
			String address = PoisonRequestTests.this.cluster.entryAddress(entry);
			Set<Integer> codes = new TreeSet<>();
			Waiting.until("poison refused, codes so far " + codes, () -> {
				codes.add(PoisonRequestTests.this.caller.chat(address, POISON, false, Map.of()).join().code());
				return codes.contains(ResultCode.CRASHING_CONTENT.number());
			});
		}

	}

}
