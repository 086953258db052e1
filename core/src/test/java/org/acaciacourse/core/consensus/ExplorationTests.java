package org.acaciacourse.core.consensus;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

import io.vavr.control.Try;
import org.acaciacourse.core.state.ProposalClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Randomized exploration of {@link Replica} under faults from a seed, and mutants that it
 * must detect.
 */
class ExplorationTests {

	private static final int SEEDS = 3_000;

	/** Runs one seed and throws on any failure. */
	private static SimulatedCluster explore(long seed, Faults faults) {
		SimulatedCluster cluster = new SimulatedCluster(seed, (seed % 5 == 0) ? 5 : 3, faults);
		cluster.runFor(600);
		boolean frequentCrashes = seed % 2 == 1;
		cluster.setFaultRates(0.02 * (seed % 4), 0.01 * (seed % 3), (frequentCrashes) ? 0.3 : 0.05);
		for (int i = 0; i < 60; i++) {
			injectRandomFault(cluster);
			if (frequentCrashes) {
				crashAroundElections(cluster);
			}
			cluster.proposeManifest(cluster.randomNode());
			cluster.proposeClaim(cluster.randomNode());
			cluster.requestRead();
			cluster.runFor(5 + cluster.random.nextInt(30));
		}
		checkRecovery(cluster);
		return cluster;
	}

	private static void injectRandomFault(SimulatedCluster cluster) {
		SimulatedNode node = cluster.randomNode();
		switch (cluster.random.nextInt(24)) {
			case 0 -> cluster.freeze(node, 50 + cluster.random.nextInt(600));
			case 1 -> cluster.isolate(node.vm);
			case 2 -> cluster.cutLink(node.vm, cluster.randomNode().vm);
			case 3, 4, 5 -> cluster.heal();
			case 6, 7 -> node.compact();
			case 8 -> node.replica.transferLeadership(node.monotonic());
			case 9 -> loseDiskIfRepaired(cluster, node);
			case 10, 11 -> cluster.startTwoCandidates();
			default -> {
			}
		}
	}

	/**
	 * Crashes leaders one after the other, and restarts voters between two vote requests.
	 */
	private static void crashAroundElections(SimulatedCluster cluster) {
		SimulatedNode leader = cluster.leader();
		if (leader != null && cluster.random.nextInt(3) == 0) {
			if (cluster.random.nextBoolean()) {
				cluster.crashFor(leader, cluster.random.nextInt(150));
			}
			else {
				cluster.startTwoCandidates();
			}
		}
		if (leader == null) {
			cluster.crashFor(cluster.randomNode(), cluster.random.nextInt(4));
		}
	}

	/**
	 * Loses a disk only once the previous loss is repaired: the requirements allow no
	 * second loss before that.
	 */
	private static void loseDiskIfRepaired(SimulatedCluster cluster, SimulatedNode node) {
		if (cluster.isRepaired()) {
			cluster.loseDisk(node);
		}
	}

	private static void checkRecovery(SimulatedCluster cluster) {
		cluster.stopFaults();
		cluster.runFor(2_000);
		SimulatedNode leader = cluster.leader();
		History.checkProgress(leader != null, "no leader after all faults were stopped: " + cluster.describe());
		long before = cluster.history.acknowledgedIndex();
		for (int i = 0; i < 20 && cluster.history.acknowledgedIndex() == before; i++) {
			cluster.proposeManifest(leader);
			cluster.runFor(50);
		}
		cluster.runFor(200);
		History.checkProgress(cluster.history.acknowledgedIndex() > before,
				"no commit after all faults were stopped: " + cluster.describe());
		for (SimulatedNode node : cluster.nodes.values()) {
			History.checkProgress(node.appliedIndex >= before, node.vm + " did not catch up: " + cluster.describe());
		}
	}

	@Test
	void noSeedViolatesAnInvariant() {
		Map<String, Long> counts = new TreeMap<>();
		for (long seed = 0; seed < SEEDS; seed++) {
			try {
				SimulatedCluster cluster = explore(seed, new Faults());
				cluster.faultCounts.forEach((fault, count) -> counts.merge(fault, count, Long::sum));
				counts.merge("steps", cluster.steps, Long::sum);
				counts.merge("commits", cluster.history.lastCommitted(), Long::sum);
				counts.merge("elections", cluster.history.elections, Long::sum);
			}
			catch (RuntimeException ex) {
				throw new AssertionError("seed " + seed, ex);
			}
		}
		System.out.println(SEEDS + " seeds: " + counts);
		assertThat(counts.get("commits")).isGreaterThan(SEEDS * 10L);
	}

	/**
	 * The first VM's disk is lost and repaired, and then the second VM fails.
	 */
	@Nested
	class LostDisk {

		private SimulatedCluster cluster;

		private long manifestNumber;

		// The first and the second VM commit a manifest that the third one has not
		// received, and then the first VM loses its disk.
		private SimulatedNode loseDiskAfterCommit(Faults faults) {
			this.cluster = new SimulatedCluster(1, 3, faults);
			this.cluster.runFor(1_000);
			SimulatedNode second = this.cluster.leader();
			List<SimulatedNode> others = this.cluster.nodes.values().stream().filter((n) -> n != second).toList();
			this.cluster.isolate(others.get(1).vm);
			while (this.cluster.history.acknowledgedNumber() == 0) {
				this.cluster.proposeManifest(second);
				this.cluster.runFor(20);
			}
			this.manifestNumber = this.cluster.history.acknowledgedNumber();
			this.cluster.loseDisk(others.get(0));
			this.cluster.heal();
			return second;
		}

		@Test
		void secondFailureJustAfterTheRepairLosesNothing() {
			// The repair adds a new replica, which has all committed entries before it
			// becomes a voter. The second VM may therefore lose its disk too: the third
			// and the new one are a quorum and have the manifest.
			SimulatedNode second = loseDiskAfterCommit(new Faults());
			for (int i = 0; i < 100 && !this.cluster.isRepaired(); i++) {
				this.cluster.runFor(20);
			}
			assertThat(this.cluster.isRepaired()).isTrue();
			this.cluster.loseDisk(second);
			this.cluster.runFor(1_000);
			assertThat(this.cluster.leader().state.manifestNumber()).isEqualTo(this.manifestNumber);
		}

		@Test
		void newIdentityDoesNotVoteBeforeTheRepair() {
			// The second VM stops before the repair is complete. The third one alone does
			// not have the manifest, and the empty replica must not help it to become
			// leader.
			SimulatedNode second = loseDiskAfterCommit(new Faults());
			this.cluster.crash(second);
			this.cluster.runFor(1_000);
			assertThat(this.cluster.leader()).isNull();
			this.cluster.restart(second);
			this.cluster.runFor(1_000);
			assertThat(this.cluster.leader().state.manifestNumber()).isEqualTo(this.manifestNumber);
		}

		@Test
		void rejoinUnderTheOldIdentityLosesACommit() {
			// The same failures, but the empty replica returns with the previous
			// identifier. It votes for the third one, and the two commit other entries in
			// place of the manifest.
			SimulatedNode second = loseDiskAfterCommit(new RejoinUnderOldIdentity());
			this.cluster.crash(second);
			Throwable violation = Try.run(() -> this.cluster.runFor(1_000)).getCause();
			assertThat(violation).hasMessageThat().contains("changed");
		}

	}

	/**
	 * VMs of a cluster of five are replaced permanently, one after the other, by empty
	 * VMs with another name, while messages are lost and operators continue to work.
	 */
	@Nested
	class ReplacedVm {

		private static final int RUNS = 150;

		private static final int REPLACEMENTS = 3;

		private static void awaitRepair(SimulatedCluster cluster) {
			for (int i = 0; i < 1_000 && !cluster.isRepaired(); i++) {
				cluster.proposeManifest(cluster.randomNode());
				cluster.proposeClaim(cluster.randomNode());
				cluster.requestRead();
				cluster.runFor(20);
			}
			History.checkProgress(cluster.isRepaired(), "membership not repaired: " + cluster.describe());
		}

		// Guards against a replacement that loses a manifest or stops the log when two
		// more disks are lost. The replaced VM counts towards the quorum until the new
		// replica becomes a voter. The new replica must not count before it has all
		// acknowledged entries, nor the replaced VM after that.
		@Test
		void twoDisksMayBeLostAtOnceAfterEachReplacement() {
			for (long seed = 0; seed < RUNS; seed++) {
				SimulatedCluster cluster = new SimulatedCluster(seed, 5, new Faults());
				cluster.setFaultRates(0.02, 0, 0.1);
				awaitRepair(cluster);
				for (int i = 0; i < REPLACEMENTS; i++) {
					SimulatedNode gone = cluster.randomNode();
					SimulatedNode fresh = cluster.replace(gone);
					awaitRepair(cluster);
					assertThat(cluster.leader().replica.membership().isVoter(fresh.id)).isTrue();
					assertThat(cluster.leader().replica.membership().voters()).hasSize(5);
					long acknowledged = cluster.history.acknowledgedNumber();
					cluster.loseDisk(cluster.randomNode());
					cluster.loseDisk(cluster.randomNode());
					awaitRepair(cluster);
					assertThat(cluster.leader().state.manifestNumber()).isAtLeast(acknowledged);
				}
			}
		}

	}

	/**
	 * Each mutant gets one step wrong that fault tolerance depends on. If a mutant
	 * passes, the exploration would not detect the same mistake in the real code.
	 */
	@Nested
	class Mutants {

		private String violationOf(Faults mutant) {
			for (long seed = 0; seed < SEEDS; seed++) {
				try {
					explore(seed, mutant);
				}
				catch (History.Stall ex) {
					// A mutant must violate an invariant, so a lack of progress does not
					// count.
				}
				catch (RuntimeException ex) {

					return ex.getMessage();
				}
			}
			return "none";
		}

		@Test
		void skippedSyncIsCaught() {
			// The disk reports a sync that it did not perform, and the VM crashes.
			// Acknowledged entries are lost, and a leader is elected without them.
			assertThat(violationOf(new Faults() {
				@Override
				SimulatedDisk newDisk() {
					return new SimulatedDisk() {
						private int calls;

						@Override
						void sync() {
							this.calls++;
							if (this.calls % 3 == 0) {
								super.sync();
							}
						}
					};
				}
			})).containsMatch("two leaders|committed entry");
		}

		@Test
		void forgottenVoteIsCaught() {
			// A replica votes, restarts without its vote and votes again in the same
			// term, so that two leaders are elected.
			assertThat(violationOf(new Faults() {
				@Override
				SimulatedDisk newDisk() {
					return new SimulatedDisk() {
						@Override
						RecoveredLog recover() {
							RecoveredLog content = super.recover();
							HardState forgotten = new HardState(content.hardState().term(), Optional.empty());
							return new RecoveredLog(forgotten, content.snapshot(), content.entries());
						}
					};
				}
			})).containsMatch("two leaders");
		}

		@Test
		void leaseNotRecheckedAfterAFreezeIsCaught() {
			// The holder checks its lease, is frozen past the end of the lease, and acts
			// on the check when it resumes, while another VM holds the lease.
			assertThat(violationOf(new Faults() {
				@Override
				OptionalLong fencingNumber(SimulatedNode node) {
					boolean waking = node.monotonic() - node.thawedAt() < SimulatedCluster.MILLISECOND;
					return (waking) ? node.fencingNumberBeforeFreeze : super.fencingNumber(node);
				}
			})).isEqualTo("two nodes hold the lease at once");
		}

		@Test
		void rejoinUnderTheOldIdentityIsCaught() {
			// A replica whose disk was lost returns empty with the previous identifier.
			// It has lost its votes and the entries that it acknowledged.
			assertThat(violationOf(new RejoinUnderOldIdentity())).containsMatch("two leaders|committed entry");
		}

		@Test
		void leaseByWallClocksIsCaught() {
			// A new leader whose wall clock is ahead expires the lease at once, while its
			// holder still relies on it.
			assertThat(violationOf(new Faults() {
				@Override
				long proposedAt(SimulatedNode node, Optional<ProposalClock> clock) {
					return node.wallMillis();
				}
			})).isEqualTo("two nodes hold the lease at once");
		}

	}

	/**
	 * A faulty join: an empty replica takes the identifier of the one that lost its disk.
	 */
	private static final class RejoinUnderOldIdentity extends Faults {

		@Override
		ReplicaId identityAfterDiskLoss(ReplicaId old, ReplicaId fresh) {
			return old;
		}

	}

}
