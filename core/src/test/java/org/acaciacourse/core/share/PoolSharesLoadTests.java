package org.acaciacourse.core.share;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Three of 24 customers at six times their usual load for 11 s, while 30% of clients
 * repeat at once; 88 entry VMs with digests up to 0.9 s old.
 */
class PoolSharesLoadTests {

	private static final long SEED = 7;

	private static final long BURST_MILLIS = 11_000;

	/** Until then it is known which requests are in time. */
	private static final long TARGET_MILLIS = 1_600;

	private static final long USUAL_MILLIS = 6_000;

	/** Starts with the burst and ends when those requests have met their deadlines. */
	private static final long AFTER_MILLIS = 9_000;

	/** A large customer and two usual ones. */
	private static final Set<Integer> BURSTING = Set.of(0, 5, 6);

	private static SharesFleet usual(boolean sharing) {
		SharesFleet fleet = new SharesFleet(sharing, SEED);
		fleet.run(USUAL_MILLIS);
		fleet.clearCounts();
		return fleet;
	}

	private static void burst(SharesFleet fleet) {
		BURSTING.forEach((customer) -> fleet.scale(customer, 6));
		fleet.repeating(true);
		fleet.run(BURST_MILLIS);
		fleet.stopCounting();
		fleet.run(TARGET_MILLIS);
	}

	private static SharesFleet afterBurst(boolean sharing) {
		SharesFleet fleet = usual(sharing);
		burst(fleet);
		return fleet;
	}

	private static SharesFleet withoutThem() {
		SharesFleet fleet = new SharesFleet(true, SEED);
		BURSTING.forEach((customer) -> fleet.scale(customer, 0));
		fleet.run(USUAL_MILLIS);
		fleet.clearCounts();
		fleet.run(BURST_MILLIS);
		fleet.stopCounting();
		fleet.run(TARGET_MILLIS);
		return fleet;
	}

	private static double othersOnTime(SharesFleet fleet) {
		return IntStream.range(0, SharesFleet.CUSTOMERS)
			.filter((customer) -> !BURSTING.contains(customer))
			.mapToDouble(fleet::onTimeShare)
			.average()
			.orElseThrow();
	}

	@Test
	void othersAreServedAsWithoutTheBurst() {
		double alone = othersOnTime(withoutThem());
		double shared = othersOnTime(afterBurst(true));
		double unshared = othersOnTime(afterBurst(false));
		assertThat(shared).isAtLeast(0.97 * alone);
		// The load is one that harms them without shares.
		assertThat(unshared).isLessThan(0.9 * alone);
	}

	@Test
	void burstingCustomersShareWhatIsLeft() {
		SharesFleet fleet = usual(true);
		burst(fleet);
		List<Double> served = BURSTING.stream().sorted().map(fleet::served).toList();
		double mean = served.stream().mapToDouble((work) -> work).average().orElseThrow();
		served.forEach((work) -> assertThat(work).isWithin(0.3 * mean).of(mean));
		assertThat(fleet.idleSlotMillis()).isEqualTo(0);
	}

	// Guards against a share for each VM, which would favour customers of many VMs.
	@Test
	void customerOfAllVmsHasOneShare() {
		SharesFleet fleet = new SharesFleet(true, SEED);
		fleet.pin(5, 3);
		fleet.run(USUAL_MILLIS);
		fleet.clearCounts();
		burst(fleet);
		assertThat(fleet.served(5)).isWithin(0.25 * fleet.served(6)).of(fleet.served(6));
	}

	@Test
	void nobodyIsOverShareInAPoolThatIsNotShort() {
		SharesFleet fleet = afterBurst(true);
		BURSTING.forEach((customer) -> fleet.scale(customer, 1.0 / 6));
		IntStream.range(0, SharesFleet.CUSTOMERS).forEach((customer) -> fleet.scale(customer, 0.5));
		fleet.repeating(false);
		fleet.run(AFTER_MILLIS + 6_000);
		long before = IntStream.range(0, SharesFleet.VMS).mapToLong((vm) -> fleet.shares(vm).overShare()).sum();
		fleet.run(2_000);
		long after = IntStream.range(0, SharesFleet.VMS).mapToLong((vm) -> fleet.shares(vm).overShare()).sum();
		assertThat(after).isEqualTo(before);
	}

	@Nested
	class Failures {

		// Guards against work of a VM that is gone counting against its customers.
		@Test
		void workOfASilentVmExpires() {
			SharesFleet fleet = new SharesFleet(true, SEED);
			fleet.pin(5, 3);
			fleet.scale(5, 60);
			fleet.run(USUAL_MILLIS);
			int key = CustomerKey.of("llm", "customer-5");
			assertThat(fleet.shares(0).division(fleet.now()).works()).containsKey(key);
			fleet.silence(3);
			fleet.scale(5, 0);
			// In transit for 0.6 s, then valid for 1.2 s.
			fleet.run(2_000);
			assertThat(fleet.shares(0).division(fleet.now()).works()).doesNotContainKey(key);
		}

		@Test
		void vmThatStartsEmptyMarksNobody() {
			SharesFleet fleet = afterBurst(true);
			fleet.restart(9);
			PoolShares shares = fleet.shares(9);
			assertThat(shares.begin("customer-0", fleet.now()).isOverShare()).isFalse();
			assertThat(shares.division(fleet.now()).customersOver()).isEqualTo(0);
			fleet.run(1_900);
			assertThat(shares.overShare()).isEqualTo(0);
		}

	}

}
