package org.acaciacourse.core.consensus;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongFunction;
import java.util.stream.LongStream;

import org.acaciacourse.core.duty.DutyAnswer;
import org.acaciacourse.core.state.ControlStateSnapshot.UsageState;
import org.acaciacourse.core.usage.UsageReport;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * The duty of usage reports under failures, in virtual time: no fencing number is used by
 * two VMs, the duty does not go from one VM to another and back within the lease, and no
 * window is reported with different counts.
 */
class DutyExplorationTests {

	private static final int SEEDS = 40;

	private static final long CALM_MILLIS = 40_000;

	private static DutyCluster started(long seed) {
		return started(new DutyCluster(seed, 5, new Faults()));
	}

	private static DutyCluster started(DutyCluster cluster) {
		cluster.runFor(20_000);
		return cluster;
	}

	private static long lastEnded(DutyCluster cluster) {
		return SimulatedDuty.WINDOWS.windowAt(cluster.trueMillis() - SimulatedDuty.DUE_MILLIS) - 1;
	}

	private static List<Long> missing(DutyCluster cluster, long from) {
		return LongStream.rangeClosed(from, lastEnded(cluster))
			.filter((window) -> !cluster.platform.accepted.containsKey(window))
			.boxed()
			.toList();
	}

	private static long window(DutyCluster cluster) {
		return SimulatedDuty.WINDOWS.windowAt(cluster.trueMillis());
	}

	/** Runs on and checks that the windows from now on are reported in time. */
	private static void checkReports(DutyCluster cluster) {
		long first = window(cluster) + 1;
		cluster.runFor(CALM_MILLIS);
		assertWithMessage("windows not reported, %s", cluster.describe()).that(missing(cluster, first)).isEmpty();
		LongStream.rangeClosed(first, lastEnded(cluster)).forEach((window) -> {
			long due = SimulatedDuty.WINDOWS.end(window) + SimulatedDuty.DUE_MILLIS;
			long at = cluster.trueMillis() - (cluster.now - cluster.platform.acceptedAt.get(window)) / 1_000_000;
			assertWithMessage("window %s", window).that(at).isAtMost(due);
		});
	}

	private static SimulatedNode holder(DutyCluster cluster) {
		return cluster.dutyHolder().orElseThrow();
	}

	private static void perturb(DutyCluster cluster) {
		SimulatedNode node = (cluster.random.nextBoolean()) ? cluster.dutyHolder().orElse(cluster.randomNode())
				: cluster.randomNode();
		switch (cluster.random.nextInt(14)) {
			case 0 -> cluster.crashFor(node, cluster.random.nextInt(4_000));
			case 1 -> cluster.freeze(node, cluster.random.nextInt(7_000));
			case 2 -> cluster.isolate(node.vm);
			case 3, 4 -> cluster.heal();
			case 5 -> cluster.platform.cutOff.add(node.vm);
			case 6 -> cluster.platform.cutOff.clear();
			case 7 -> node.replica.transferLeadership(node.monotonic());
			case 8 -> cluster.duty(node).releaseByHand();
			case 9 -> cluster.setClock(node, cluster.random.nextInt(4_000) - 2_000);
			case 10 -> {
				cluster.platformFault = Optional.of(DutyAnswer.UNANSWERED);
			}
			case 11 -> {
				cluster.platformFault = Optional.empty();
			}
			case 12 -> {
				cluster.lateShare = cluster.random.nextInt(3) * 0.3;
			}
			case 13 -> {
				if (cluster.isRepaired()) {
					cluster.loseDisk(node);
				}
			}
			default -> throw new IllegalStateException("unknown fault");
		}
	}

	private static void explore(DutyCluster cluster) {
		for (int i = 0; i < 40; i++) {
			perturb(cluster);
			cluster.runFor(cluster.random.nextInt(3_000));
		}
	}

	/** Has the duty released and the leadership transferred again and again. */
	private static void flap(DutyCluster cluster) {
		for (int i = 0; i < 60; i++) {
			cluster.dutyHolder().ifPresent((node) -> cluster.duty(node).releaseByHand());
			cluster.runFor(50);
			SimulatedNode leader = cluster.leader();
			if (leader != null) {
				leader.replica.transferLeadership(leader.monotonic());
			}
			cluster.runFor(300 + cluster.random.nextInt(1_200));
		}
	}

	private static void endFaults(DutyCluster cluster) {
		cluster.stopFaults();
		cluster.platform.cutOff.clear();
		cluster.platformFault = Optional.empty();
		cluster.lateShare = 0;
		cluster.nodes.values().forEach((node) -> cluster.setClock(node, 0));
		cluster.runFor(20_000);
	}

	@Test
	void noSeedViolatesAnInvariant() {
		Map<String, Long> counts = new TreeMap<>();
		for (long seed = 0; seed < SEEDS; seed++) {
			DutyCluster cluster = new DutyCluster(seed, 5, new Faults());
			try {
				explore(cluster);
				endFaults(cluster);
				checkReports(cluster);
			}
			catch (RuntimeException | AssertionError ex) {
				throw new AssertionError("seed " + seed, ex);
			}
			cluster.faultCounts.forEach((fault, count) -> counts.merge(fault, count, Long::sum));
			counts.merge("reports", (long) cluster.platform.accepted.size(), Long::sum);
			counts.merge("fencing numbers", (long) cluster.platform.holders.size(), Long::sum);
		}
		System.out.println(SEEDS + " seeds: " + counts);
		assertThat(counts.get("reports")).isGreaterThan(SEEDS * 10L);
	}

	@Nested
	class Calm {

		// Guards against calls that are charged for without need, and counts that differ
		// from those of the entry VMs.
		@Test
		void oneVmReportsEachWindowOnce() {
			DutyCluster cluster = started(1);
			int calls = cluster.platform.calls;
			checkReports(cluster);
			assertThat(cluster.platform.calls - calls).isAtMost((int) (CALM_MILLIS / 1_000) + 1);
			assertThat(cluster.platform.holders).hasSize(1);
			assertThat(cluster.duty(cluster.leader()).isHeld()).isTrue();
		}

	}

	@Nested
	class HolderFails {

		// Guards against windows that are not reported as the VM that held the duty
		// ended.
		@Test
		void anotherVmTakesOverWhenItIsKilled() {
			DutyCluster cluster = started(2);
			cluster.crash(holder(cluster));
			checkReports(cluster);
		}

		// Guards against a report by a VM that was frozen past the end of its lease.
		@Test
		void frozenHolderDoesNotReportWithItsOldNumber() {
			for (int seed = 0; seed < 20; seed++) {
				DutyCluster cluster = started(seed);
				for (int i = 0; i < 4; i++) {
					cluster.runFor(cluster.random.nextInt(5_000));
					cluster.dutyHolder().ifPresent((node) -> cluster.freeze(node, 6_000));
				}
				cluster.runFor(10_000);
				checkReports(cluster);
			}
		}

		@Test
		void anotherVmTakesOverWhenItIsCutFromTheOthers() {
			DutyCluster cluster = started(3);
			cluster.isolate(holder(cluster).vm);
			checkReports(cluster);
		}

		// Guards against a duty that stands still while the leader alone has lost the
		// platform.
		@Test
		void anotherVmTakesOverWhileTheLeaderCannotReachThePlatform() {
			DutyCluster cluster = started(4);
			SimulatedNode leader = cluster.leader();
			cluster.platform.cutOff.add(leader.vm);
			checkReports(cluster);
			assertThat(cluster.leader()).isEqualTo(leader);
			assertThat(holder(cluster)).isNotEqualTo(leader);
		}

		@Test
		void replacedVmIsFollowedByAnother() {
			DutyCluster cluster = started(5);
			cluster.replace(holder(cluster));
			checkReports(cluster);
		}

		// Guards against a fencing number that is issued again after a disk was lost.
		@Test
		void numberIsNotIssuedAgainAfterALostDisk() {
			DutyCluster cluster = started(6);
			for (int i = 0; i < 3; i++) {
				long highest = cluster.platform.highestNumber();
				cluster.loseDisk(holder(cluster));
				cluster.runFor(15_000);
				assertThat(cluster.platform.highestNumber()).isGreaterThan(highest);
			}
			checkReports(cluster);
		}

		@Test
		void reportsGoOnAfterALossOfPowerOfAllVms() {
			DutyCluster cluster = started(7);
			List.copyOf(cluster.nodes.values()).forEach((node) -> cluster.crashFor(node, 3_000));
			cluster.runFor(8_000);
			checkReports(cluster);
		}

	}

	@Nested
	class Handover {

		// Guards against a leader that flaps and takes the duty back and forth.
		@Test
		void vmThatReleasedTheLeaseDoesNotComeBackAtOnce() {
			for (int seed = 0; seed < 20; seed++) {
				DutyCluster cluster = started(new DutyCluster(seed, 3, new Faults()));
				flap(cluster);
				checkReports(cluster);
			}
		}

		// Guards against a holder that repeats a number which the platform has refused.
		@Test
		void refusedNumberIsNotUsedAgain() {
			DutyCluster cluster = started(8);
			long refused = cluster.platform.highestNumber();
			cluster.platform.raiseNumber(refused + 1);
			int calls = cluster.platform.calls;
			cluster.runFor(15_000);
			assertThat(cluster.platform.highestNumber()).isGreaterThan(refused + 1);
			assertThat(cluster.platform.calls - calls).isAtMost(18);
			checkReports(cluster);
		}

	}

	@Nested
	class Platform {

		// Guards against windows that are lost while the platform is down, and calls
		// beyond
		// its rate afterwards.
		@Test
		void windowsAreCaughtUpWithInTheirOrder() {
			for (DutyAnswer fault : List.of(DutyAnswer.UNANSWERED, DutyAnswer.BUSY, DutyAnswer.UNAVAILABLE)) {
				DutyCluster cluster = started(9);
				long first = window(cluster);
				cluster.platformFault = Optional.of(fault);
				cluster.runFor(60_000);
				cluster.platformFault = Optional.empty();
				int calls = cluster.platform.calls;
				cluster.runFor(25_000);
				assertWithMessage(fault.label()).that(missing(cluster, first)).isEmpty();
				assertThat(cluster.platform.calls - calls).isAtMost((int) (25 * 12.5));
				checkReports(cluster);
			}
		}

		@Test
		void callsCarriedOutLateUndoNothing() {
			for (int seed = 0; seed < 10; seed++) {
				DutyCluster cluster = started(seed);
				cluster.lateShare = 0.5;
				cluster.runFor(60_000);
				cluster.lateShare = 0;
				cluster.runFor(10_000);
				checkReports(cluster);
			}
		}

	}

	/**
	 * Each mutant leaves out one safeguard. If a mutant passes, the exploration would not
	 * detect the same mistake in the real code.
	 */
	@Nested
	class Mutants {

		private String violationOf(LongFunction<DutyCluster> factory) {
			for (long seed = 0; seed < SEEDS; seed++) {
				try {
					flap(started(factory.apply(seed)));
					explore(factory.apply(seed));
				}
				catch (History.Violation ex) {
					return ex.getMessage();
				}
			}
			return "none";
		}

		@Test
		void leaseThatMayComeBackAtOnceIsCaught() {
			assertThat(violationOf((seed) -> new DutyCluster(seed, 3, new Faults()) {
				@Override
				long returnMillis() {
					return 0;
				}
			})).containsMatch("the duty went from .* and back");
		}

		@Test
		void countsThatAreNotFixedAreCaught() {
			assertThat(violationOf((seed) -> new DutyCluster(seed, 5, new Faults()) {
				@Override
				UsageState usageState(UsageState replicated) {
					List<UsageReport> anew = replicated.unreported()
						.stream()
						.map((report) -> counts(report.window(), false))
						.toList();
					return new UsageState(replicated.frozenThrough(), replicated.reportedThrough(), anew);
				}
			})).containsMatch("two reports of window .* with different counts");
		}

	}

}
