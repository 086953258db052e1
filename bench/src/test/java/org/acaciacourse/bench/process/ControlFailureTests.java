package org.acaciacourse.bench.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.acaciacourse.bench.check.Told;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.testkit.JavaProcess;
import org.acaciacourse.testkit.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/**
 * Control processes that are killed, frozen, emptied and restarted, and operators that
 * race one another.
 */
class ControlFailureTests {

	private static final int CONTROLS = 3;

	private static final int ENTRIES = 2;

	/** Within the deadline, and out of reach of what a starved stand-in loses. */
	private static final String TARGET = "40 s";

	private Cluster cluster;

	private Caller caller;

	@BeforeEach
	void start(@TempDir Path folder) {
		this.cluster = new Cluster(folder, CONTROLS, ENTRIES, 1);
		this.cluster.firstTokenTarget(TARGET);
		this.caller = new Caller();
		this.cluster.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.caller.close();
		this.cluster.close();
	}

	private void applyAndAwait(long number) {
		this.cluster.apply(this.cluster.manifest(number, "tiered"));
		IntStream.range(0, ENTRIES).forEach((i) -> this.cluster.awaitConfiguration(i, number));
	}

	private Told marked(int entry, String key) {
		return this.caller.marked(this.cluster.entryAddress(entry), "claimed " + key, key).join();
	}

	private void awaitClaim(int entry, String key) {
		Waiting.until("claim granted", () -> marked(entry, key).outcome() == Told.Outcome.ANSWERED);
	}

	@Nested
	class Leader {

		/*
		 * The leader is killed with SIGKILL. Operators and callers of marked requests see
		 * refusals until the others elect a new one; then manifests and claims go on, and
		 * the killed replica comes back from its folder.
		 */
		@Test
		void killedLeaderIsReplacedAndComesBack() {
			Cluster cluster = ControlFailureTests.this.cluster;
			int leader = cluster.awaitLeader();
			cluster.control(leader).kill();
			applyAndAwait(2);
			awaitClaim(0, "after-kill");
			cluster.startControl(leader);
			cluster.awaitControls();
			applyAndAwait(3);
		}

		/*
		 * The leader is frozen for longer than its lease, as on the far side of a silent
		 * partition, while the others elect a new one and accept a manifest. It comes
		 * back believing that it leads. What it would still say of its old state is
		 * refused, and no entry goes back to the older manifest.
		 */
		@Test
		void frozenLeaderDoesNotBringBackAnOlderConfiguration() {
			Cluster cluster = ControlFailureTests.this.cluster;
			int frozen = cluster.awaitLeader();
			cluster.control(frozen).freeze();
			applyAndAwait(2);
			cluster.control(frozen).thaw();
			awaitClaim(1, "after-thaw");
			IntStream.range(0, ENTRIES).forEach((i) -> cluster.awaitConfiguration(i, 2));
			cluster.entry(0).kill();
			cluster.startEntry(0);
			cluster.awaitEntry(0);
			cluster.awaitConfiguration(0, 2);
			applyAndAwait(3);
		}

		/*
		 * Two controls of three are gone: no quorum. A claim can't be committed, so the
		 * caller is told at once that the request was not run, and it was not. Unmarked
		 * requests are served from the configuration that is known.
		 */
		@Test
		void withoutAQuorumAClaimIsRefusedAndOthersAreServed() {
			Cluster cluster = ControlFailureTests.this.cluster;
			cluster.control(0).kill();
			cluster.control(1).kill();
			List<Told> told = new ArrayList<>();
			Waiting.until("claim refused", () -> {
				told.add(marked(0, "no-quorum-" + told.size()));
				return told.get(told.size() - 1).code() == ResultCode.CLAIM_UNAVAILABLE.number();
			});
			Told plain = ControlFailureTests.this.caller.chat(cluster.entryAddress(0), "plain", false, Map.of()).join();
			told.add(plain);
			assertThat(plain.outcome()).isEqualTo(Told.Outcome.ANSWERED);
			assertThat(cluster.check(told).isSound()).isTrue();
		}

	}

	@Nested
	class Folder {

		/*
		 * A replica's disk is lost: it is killed, its folder deleted, and started again.
		 * It has forgotten its votes and the log, so it must not count as the voter that
		 * it was. The manifest in force and the claims stay; it joins again as a new
		 * replica, and then another one may fail.
		 */
		@Test
		void replicaWithADeletedFolderJoinsAgain() throws IOException {
			Cluster cluster = ControlFailureTests.this.cluster;
			applyAndAwait(2);
			awaitClaim(0, "before");
			int emptied = cluster.awaitLeader();
			cluster.control(emptied).kill();
			delete(cluster.data(emptied));
			cluster.startControl(emptied);
			cluster.awaitControls();
			applyAndAwait(3);
			cluster.control((emptied + 1) % CONTROLS).kill();
			applyAndAwait(4);
			awaitClaim(1, "after");
			assertThat(marked(1, "before").outcome()).isEqualTo(Told.Outcome.ANSWERED);
			assertThat(cluster.check(List.of()).doubleRuns()).isEmpty();
		}

		private void delete(Path folder) throws IOException {
			try (Stream<Path> files = Files.walk(folder)) {
				for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
					Files.delete(file);
				}
			}
		}

	}

	@Nested
	class Operators {

		/*
		 * Four operators apply different manifests with the same number at once. One gets
		 * its manifest in force, the others are told of the conflict; a resend of the
		 * accepted one is accepted again.
		 */
		@Test
		void oneOfFourEqualNumbersIsAccepted() {
			Cluster cluster = ControlFailureTests.this.cluster;
			List<String> manifests = IntStream.range(0, 4)
				.mapToObj((i) -> cluster.manifest(2, "tiered") + "[policy p" + i + "]\nkind = fifo\n")
				.toList();
			List<JavaProcess> operators = IntStream.range(0, 4)
				.mapToObj((i) -> cluster.startApply("operator-" + i, manifests.get(i)))
				.toList();
			List<Integer> statuses = operators.stream().map(JavaProcess::awaitExit).toList();
			int conflict = ResultCode.MANIFEST_CONFLICT.exitStatus();
			assertThat(statuses).containsExactly(0, conflict, conflict, conflict);
			cluster.apply(manifests.get(statuses.indexOf(0)));
			IntStream.range(0, ENTRIES).forEach((i) -> cluster.awaitConfiguration(i, 2));
		}

	}

	@Nested
	class Restarted {

		/*
		 * Each control gets SIGTERM and is started again under a load of streamed and
		 * marked requests. Leaders hand over before they stop, so callers of marked
		 * requests see no refusal.
		 */
		@Test
		void rollingRestartIsNotNoticed() {
			Cluster cluster = ControlFailureTests.this.cluster;
			List<Told> told;
			try (SteadyLoad load = new SteadyLoad(cluster, ControlFailureTests.this.caller)) {
				for (int i = 0; i < CONTROLS; i++) {
					load.awaitAnswers(10);
					cluster.control(i).terminate();
					assertThat(cluster.control(i).awaitExit()).isEqualTo(0);
					cluster.startControl(i);
					cluster.awaitControls();
				}
				load.awaitAnswers(10);
				told = load.stop();
			}
			assertThat(told.stream().filter((call) -> call.outcome() != Told.Outcome.ANSWERED).toList()).isEmpty();
			assertThat(cluster.check(told).isSound()).isTrue();
		}

	}

}
