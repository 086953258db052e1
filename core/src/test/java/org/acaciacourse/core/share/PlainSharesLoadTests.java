package org.acaciacourse.core.share;

import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Three of 24 customers at six times their usual load for 11 s at plain endpoints; 88
 * entry VMs that know the load of the others as it was up to 0.9 s before.
 */
class PlainSharesLoadTests {

	private static final Set<Integer> BURSTING = Set.of(0, 5, 6);

	private static PlainFleet play(boolean sharing, double factor) {
		return play(sharing, factor, 7);
	}

	private static PlainFleet play(boolean sharing, double factor, long seed) {
		PlainFleet fleet = new PlainFleet(sharing, seed);
		fleet.run(6_000);
		BURSTING.forEach((customer) -> fleet.scale(customer, factor));
		fleet.count(true);
		fleet.run(11_000);
		fleet.count(false);
		fleet.run(1_600);
		return fleet;
	}

	private static double othersOnTime(PlainFleet fleet) {
		return IntStream.range(0, PlainFleet.CUSTOMERS)
			.filter((customer) -> !BURSTING.contains(customer))
			.mapToDouble(fleet::onTimeShare)
			.average()
			.orElseThrow();
	}

	@Test
	void othersAreServedAsWithoutTheBurst() {
		double alone = othersOnTime(play(true, 0));
		assertThat(othersOnTime(play(true, 6))).isAtLeast(0.97 * alone);
		// The load is one that harms them without shares.
		assertThat(othersOnTime(play(false, 6))).isLessThan(0.9 * alone);
	}

	// Guards against slots that stay free while requests over share are held back. Load
	// that is known 0.9 s late leaves some idle.
	@Test
	void slotsAreUsed() {
		assertThat(play(true, 6).busyShare()).isAtLeast(0.97);
	}

	// Guards against VMs that all send to the same free slots at once: the others were
	// on time for 96% then.
	@Test
	void otherSeedsHoldAsWell() {
		for (long seed = 1; seed <= 3; seed++) {
			assertThat(othersOnTime(play(true, 6, seed))).isAtLeast(0.97);
		}
	}

}
