package org.acaciacourse.core.consensus;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * VMs that keep their disk and return after a newcomer has taken their place.
 */
class ReturningVmTests {

	private static final int RUNS = 60;

	private static final long GONE_MILLIS = 2_500;

	private static SimulatedCluster cluster(long seed, int size) {
		SimulatedCluster cluster = new SimulatedCluster(seed, size, new Faults());
		cluster.rates(0.02, 0, 0.1);
		return cluster;
	}

	private static void operate(SimulatedCluster cluster, long millis) {
		for (long i = 0; i < millis; i += 20) {
			cluster.operate(cluster.randomNode());
			cluster.read();
			cluster.runFor(20);
		}
	}

	private static SimulatedNode other(SimulatedCluster cluster, SimulatedNode node) {
		SimulatedNode other = cluster.randomNode();
		while (other == node) {
			other = cluster.randomNode();
		}
		return other;
	}

	private static void repair(SimulatedCluster cluster) {
		for (int i = 0; i < 500 && !cluster.isRepaired(); i++) {
			operate(cluster, 20);
		}
		History.checkProgress(cluster.isRepaired(), "not repaired: " + cluster.describe());
	}

	/**
	 * While one VM is cut off, another one is replaced for good.
	 */
	@Nested
	class CutOffDuringAReplacement {

		private SimulatedCluster cluster;

		// Leaves five VMs that run: four voters and the one that was cut off.
		private void replaceWhileCutOff(long seed, boolean leads) {
			this.cluster = cluster(seed, 5);
			repair(this.cluster);
			SimulatedNode cutOff = leads ? this.cluster.leader() : this.cluster.randomNode();
			this.cluster.isolate(cutOff.vm);
			operate(this.cluster, GONE_MILLIS);
			this.cluster.replace(other(this.cluster, cutOff));
			this.cluster.isolate(cutOff.vm);
			operate(this.cluster, GONE_MILLIS);
			this.cluster.heal();
		}

		// Guards against a VM that stays out of the membership for good, as nobody tells
		// it that it was removed, while a dead VM keeps its vote.
		@Test
		void returnsAndTakesThePlaceOfTheDeadVm() {
			for (long seed = 0; seed < RUNS; seed++) {
				replaceWhileCutOff(seed, false);
				repair(this.cluster);
			}
		}

	}

	/**
	 * There is a spare learner, and a voter is down for longer than it may be absent.
	 */
	@Nested
	class DownWhileASpareIsThere {

		// Guards against a VM that restarts slowly and is then outside the membership for
		// good.
		@Test
		void returnsAsTheSpare() {
			for (long seed = 0; seed < RUNS; seed++) {
				SimulatedCluster cluster = cluster(seed, 6);
				operate(cluster, 2_000);
				SimulatedNode slow = cluster.randomNode();
				cluster.crash(slow);
				operate(cluster, GONE_MILLIS);
				cluster.restart(slow);
				operate(cluster, 2_000);
				Membership members = cluster.leader().replica.membership();
				assertThat(members.member(slow.id).isPresent()).isTrue();
				assertThat(members.voters()).hasSize(5);
			}
		}

	}

}
