package org.acaciacourse.core.balance;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class SharedRetryBudgetTests {

	private static final long SECOND = RetryFleet.SECOND;

	private static final RetryFleet.Rule RULE = new RetryFleet.Rule(10 * SECOND, 0.2, 52);

	private static final int VMS = 6;

	private static RetryFleet warmedUp(RetryFleet.Rule rule, int vms, long seed) {
		RetryFleet fleet = new RetryFleet(rule, vms, seed);
		fleet.load(60, 0.02);
		fleet.run(30 * SECOND);
		return fleet;
	}

	private static List<Integer> sample(RetryFleet fleet, double share) {
		List<Integer> vms = new ArrayList<>(fleet.vms());
		Collections.shuffle(vms, fleet.random());
		return vms.subList(0, (int) Math.ceil(vms.size() * share));
	}

	private static void assertWithin(RetryFleet fleet, String run) {
		assertWithMessage(run).that(fleet.excess()).isEmpty();
	}

	@Nested
	class OneFault {

		// A restarted process must not spend again what its predecessor spent.
		@Test
		void entryVmsKilledInSeriesWhileEndpointsRefuse() {
			for (long seed = 1; seed <= 50; seed++) {
				RetryFleet fleet = warmedUp(RULE, VMS, seed);
				fleet.load(100, 0.8);
				for (int kill = 0; kill < 4; kill++) {
					fleet.run(2 * SECOND);
					sample(fleet, 0.8).forEach(fleet::start);
				}
				fleet.run(12 * SECOND);
				assertThat(fleet.retryCount()).isGreaterThan(100);
				assertWithin(fleet, "seed " + seed);
			}
		}

		// One entry VM spends for the callers that it had, and another one for the same
		// callers after they moved.
		@Test
		void callersThatMoveToAnotherEntryVm() {
			RetryFleet fleet = warmedUp(RULE, VMS, 1);
			fleet.prefer(0);
			fleet.run(20 * SECOND);
			fleet.load(60, 0.9);
			fleet.run(SECOND / 2);
			fleet.prefer(1);
			fleet.run(12 * SECOND);
			assertWithin(fleet, "callers moved");
		}

		// All requests that wait for an endpoint rely on the same last retry.
		@Test
		void retriesThatWaitForAnEndpoint() {
			RetryFleet fleet = warmedUp(RULE, VMS, 1);
			fleet.load(60, 0.9);
			fleet.run(15 * SECOND);
			fleet.delayRetries(2 * SECOND);
			fleet.run(15 * SECOND);
			assertWithin(fleet, "retries wait");
		}

		// An entry VM that has heard of no others since its start must not spend the
		// whole minimum.
		@Test
		void entryVmsThatStartWithoutControl() {
			RetryFleet fleet = warmedUp(RULE, VMS, 1);
			fleet.control(false);
			fleet.vms().forEach(fleet::start);
			fleet.run(20 * SECOND);
			fleet.load(60, 0.9);
			fleet.run(12 * SECOND);
			assertWithin(fleet, "no control since the start");
		}

		// A newly started control VM has heard from only a few entry VMs.
		@Test
		void controlThatStartsAfterALongOutage() {
			RetryFleet fleet = warmedUp(RULE, VMS, 1);
			fleet.control(false);
			fleet.run(20 * SECOND);
			fleet.load(60, 0.9);
			fleet.control(true);
			fleet.run(12 * SECOND);
			assertWithin(fleet, "control counts anew");
		}

		// The others divide the share of an entry VM that control no longer hears from,
		// while that VM still spends it.
		@Test
		void entryVmsDisconnectedFromControl() {
			RetryFleet fleet = warmedUp(RULE, VMS, 1);
			fleet.load(10, 0);
			for (int vm = 0; vm < VMS / 2; vm++) {
				fleet.disconnect(vm, 60 * SECOND);
			}
			fleet.run(40 * SECOND);
			fleet.load(10, 0.9);
			fleet.run(12 * SECOND);
			assertWithin(fleet, "cut off");
		}

		// The others have just spent the share of an entry VM when it is back from a long
		// time without control.
		@Test
		void entryVmsThatReconnectToControl() {
			assertWithin(returningVms((fleet, vm) -> fleet.disconnect(vm, 45 * SECOND)), "reconnected");
		}

		// Nor may a VM that did not run at all for that time spend its share at once.
		@Test
		void entryVmsThatRunAgainAfterALongFreeze() {
			assertWithin(returningVms((fleet, vm) -> fleet.freeze(vm, 45 * SECOND)), "frozen for long");
		}

		private static RetryFleet returningVms(BiConsumer<RetryFleet, Integer> fault) {
			RetryFleet fleet = warmedUp(RULE, VMS, 1);
			fleet.load(10, 0);
			for (int vm = 0; vm < VMS / 2; vm++) {
				fault.accept(fleet, vm);
			}
			fleet.run(43 * SECOND);
			fleet.load(10, 0.9);
			fleet.run(15 * SECOND);
			return fleet;
		}

	}

	@Nested
	class Stalls {

		private static RetryFleet refusingFleet(long seed) {
			RetryFleet fleet = new RetryFleet(new RetryFleet.Rule(10 * SECOND, 0.2, 194), 77, seed);
			fleet.load(740, 0.02);
			fleet.run(30 * SECOND);
			fleet.load(740, 0.9);
			fleet.waitForFrozen();
			return fleet;
		}

		// Requests that were sent while the entry VMs did not run are read together, and
		// must not earn retries for a later window.
		@Test
		void requestsReadTogetherAfterEntryVmsStalled() {
			for (long seed = 1; seed <= 10; seed++) {
				RetryFleet fleet = refusingFleet(seed);
				for (int stall = 0; stall < 4; stall++) {
					fleet.run((1 + fleet.random().nextInt(3)) * SECOND);
					long nanos = (10 + fleet.random().nextInt(30)) * SECOND / 10;
					sample(fleet, 0.9).forEach((vm) -> fleet.freeze(vm, nanos));
				}
				fleet.run(15 * SECOND);
				assertWithin(fleet, "seed " + seed);
			}
		}

		// Retries that were sent while the endpoints did not read arrive together, and
		// must not add to those of a later window.
		@Test
		void retriesReadTogetherAfterEndpointsStalled() {
			for (long seed = 1; seed <= 10; seed++) {
				RetryFleet fleet = refusingFleet(seed);
				for (int stall = 0; stall < 4; stall++) {
					fleet.run((1 + fleet.random().nextInt(3)) * SECOND);
					fleet.stallEndpoints((10 + fleet.random().nextInt(30)) * SECOND / 10);
				}
				fleet.run(15 * SECOND);
				assertWithin(fleet, "seed " + seed);
			}
		}

	}

	@Nested
	class NoEntryVmFaults {

		// A budget that is kept too cautiously denies callers retries that it permits.
		@Test
		void mostOfTheBudgetIsUsableWhileEndpointsRefuse() {
			RetryFleet fleet = warmedUp(RULE, VMS, 1);
			fleet.load(60, 0.9);
			for (int window = 0; window < 4; window++) {
				int before = fleet.retryCount();
				fleet.run(10 * SECOND);
				double allowed = 0.2 * 60 * 10 + 52;
				assertThat(fleet.retryCount() - before).isAtLeast((int) (0.8 * allowed));
			}
			assertWithin(fleet, "steady load");
		}

	}

	@Nested
	class ManyFaults {

		// As below, and callers also use frozen VMs while endpoints stop reading.
		@Test
		void sumStaysWithinTheRuleUnderAnyFaultsAndStalls() {
			for (long seed = 1; seed <= 200; seed++) {
				int vms = 2 + (int) (seed % 20);
				RetryFleet fleet = warmedUp(new RetryFleet.Rule(10 * SECOND, 0.2, 26 + seed % 100), vms, seed);
				fleet.waitForFrozen();
				Random random = fleet.random();
				int next = vms;
				while (fleet.seconds() < 120) {
					fleet.load(20 + random.nextInt(400), random.nextInt(10) / 10.0);
					next = fault(fleet, random, next);
					if (random.nextInt(3) == 0) {
						fleet.stallEndpoints(random.nextInt(40) * SECOND / 10);
					}
					fleet.run((1 + random.nextInt(40)) * SECOND / 10);
				}
				assertWithin(fleet, "seed " + seed);
			}
		}

		// Faults of all kinds occur in series and overlap, as drawn from the seed.
		@Test
		void sumStaysWithinTheRuleUnderAnyFaults() {
			for (long seed = 1; seed <= 200; seed++) {
				int vms = 2 + (int) (seed % 12);
				RetryFleet fleet = warmedUp(new RetryFleet.Rule(10 * SECOND, 0.2, 26 + seed % 100), vms, seed);
				Random random = fleet.random();
				int next = vms;
				while (fleet.seconds() < 120) {
					fleet.load(20 + random.nextInt(100), random.nextInt(10) / 10.0);
					next = fault(fleet, random, next);
					fleet.run((1 + random.nextInt(40)) * SECOND / 10);
				}
				assertWithin(fleet, "seed " + seed);
			}
		}

		private int fault(RetryFleet fleet, Random random, int next) {
			double share = random.nextDouble();
			long nanos = (1 + random.nextInt(300)) * SECOND / 10;
			switch (random.nextInt(8)) {
				case 0, 1 -> sample(fleet, share).forEach(fleet::start);
				case 2 -> sample(fleet, share).forEach((vm) -> fleet.freeze(vm, nanos / 4));
				case 3 -> sample(fleet, share).forEach((vm) -> fleet.disconnect(vm, nanos));
				case 4 -> fleet.control(random.nextInt(3) != 0);
				case 5 -> fleet.prefer(random.nextInt(next));
				case 6 -> fleet.prefer(-1);
				default -> {
					fleet.start(next);
					if (fleet.vms().size() > 3) {
						fleet.remove(sample(fleet, 0.1).get(0));
					}
					return next + 1;
				}
			}
			return next;
		}

	}

}
