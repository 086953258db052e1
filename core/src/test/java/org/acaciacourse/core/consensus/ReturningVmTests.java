package org.acaciacourse.core.consensus;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that a VM that keeps its disk rejoins after another VM has replaced it in the
 * membership.
 */
class ReturningVmTests {

	private static final int RUNS = 60;

	private static final long ABSENCE_MILLIS = 2_500;

	private static SimulatedCluster cluster(long seed, int size) {
		SimulatedCluster cluster = new SimulatedCluster(seed, size, new Faults());
		cluster.setFaultRates(0.02, 0, 0.1);
		return cluster;
	}

	private static void runWorkload(SimulatedCluster cluster, long millis) {
		for (long i = 0; i < millis; i += 20) {
			cluster.proposeManifest(cluster.randomNode());
			cluster.requestRead();
			cluster.runFor(20);
		}
	}

	private static SimulatedNode randomNodeExcept(SimulatedCluster cluster, SimulatedNode node) {
		SimulatedNode other = cluster.randomNode();
		while (other == node) {
			other = cluster.randomNode();
		}
		return other;
	}

	private static void awaitRepair(SimulatedCluster cluster) {
		for (int i = 0; i < 500 && !cluster.isRepaired(); i++) {
			runWorkload(cluster, 20);
		}
		History.checkProgress(cluster.isRepaired(), "membership not repaired: " + cluster.describe());
	}

	/**
	 * One VM is partitioned from the others while another is replaced permanently.
	 */
	@Nested
	class PartitionedDuringReplacement {

		private SimulatedCluster cluster;

		// Leaves five running VMs: four voters and the VM that was isolated.
		private void replaceWhileIsolated(long seed, boolean isolateLeader) {
			this.cluster = cluster(seed, 5);
			awaitRepair(this.cluster);
			SimulatedNode isolated = isolateLeader ? this.cluster.leader() : this.cluster.randomNode();
			this.cluster.isolate(isolated.vm);
			runWorkload(this.cluster, ABSENCE_MILLIS);
			this.cluster.replace(randomNodeExcept(this.cluster, isolated));
			this.cluster.isolate(isolated.vm);
			runWorkload(this.cluster, ABSENCE_MILLIS);
			this.cluster.heal();
		}

		// Guards against a removed VM that never rejoins because it did not receive its
		// own removal, while a dead VM remains a voter.
		@Test
		void rejoinsInPlaceOfTheReplacedVm() {
			for (long seed = 0; seed < RUNS; seed++) {
				replaceWhileIsolated(seed, false);
				awaitRepair(this.cluster);
			}
		}

		// Guards against a former leader that keeps starting elections and never rejoins.
		@Test
		void formerLeaderRejoins() {
			for (long seed = 0; seed < RUNS; seed++) {
				replaceWhileIsolated(seed, true);
				awaitRepair(this.cluster);
			}
		}

		// Guards against the loss of an acknowledged manifest, or of the quorum, when two
		// disks are lost after the partition has healed.
		@Test
		void toleratesTwoDiskLossesAfterRejoining() {
			for (long seed = 0; seed < RUNS; seed++) {
				replaceWhileIsolated(seed, seed % 2 == 0);
				this.cluster.runFor(4_000);
				long acknowledged = this.cluster.history.acknowledgedNumber();
				SimulatedNode first = this.cluster.randomNode();
				this.cluster.loseDisk(first);
				this.cluster.loseDisk(randomNodeExcept(this.cluster, this.cluster.nodes.get(first.vm)));
				awaitRepair(this.cluster);
				assertThat(this.cluster.leader().state.manifestNumber()).isAtLeast(acknowledged);
			}
		}

	}

	/**
	 * A voter is down for longer than the allowed absence while there is a spare learner.
	 */
	@Nested
	class DownWhileASpareLearnerExists {

		// Guards against a VM that never rejoins after a slow restart.
		@Test
		void rejoinsAsTheSpareLearner() {
			for (long seed = 0; seed < RUNS; seed++) {
				SimulatedCluster cluster = cluster(seed, 6);
				runWorkload(cluster, 2_000);
				SimulatedNode restarted = cluster.randomNode();
				cluster.crash(restarted);
				runWorkload(cluster, ABSENCE_MILLIS);
				cluster.restart(restarted);
				runWorkload(cluster, 2_000);
				Membership members = cluster.leader().replica.membership();
				assertThat(members.member(restarted.id).isPresent()).isTrue();
				assertThat(members.voters()).hasSize(5);
			}
		}

	}

}
