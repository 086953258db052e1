package org.acaciacourse.core.balance;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;

import com.google.common.collect.Range;
import org.acaciacourse.core.route.FleetEndpoint;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of a pool with endpoints of two speeds. Its entry VMs know of each other's
 * requests up to 0.9 s late.
 */
class UnevenPoolTests extends BalancerTestBase {

	private static final int SEED = 1;

	private static final double REQUESTS_PER_SECOND = 450;

	private static final int LEARNING_SECONDS = 25;

	private static final int MEASURED_SECONDS = 30;

	private static UnevenPool run(Map<OptionalMechanism, OptionalSwitch> switches) {
		UnevenPool pool = new UnevenPool(SEED, REQUESTS_PER_SECOND, switches);
		pool.run(LEARNING_SECONDS, false);
		pool.run(MEASURED_SECONDS, true);
		return pool;
	}

	/*
	 * One engine in four works at half the speed of the others. Taken for alike, its
	 * callers wait three times as long as others. The mechanism is switched on by the
	 * fourth figure alone.
	 */
	@Test
	void waitsAtSlowAndFastEndpointsAreAlike() {
		UnevenPool alike = run(Map.of(OptionalMechanism.ENDPOINT_SPEED, OptionalSwitch.OFF));
		assertThat(alike.meanWaitMillis(true) / alike.meanWaitMillis(false)).isGreaterThan(2.0);
		UnevenPool bySpeed = run(Map.of(OptionalMechanism.ENDPOINT_SPEED, OptionalSwitch.WITH_STATED_PACE));
		assertThat(bySpeed.meanLearned(true)).isIn(Range.closed(0.4, 0.55));
		assertThat(bySpeed.meanWaitMillis(true) / bySpeed.meanWaitMillis(false)).isIn(Range.closed(0.75, 1.25));
		assertThat(bySpeed.highestRelativeLoad()).isLessThan(alike.highestRelativeLoad());
	}

	/*
	 * Pools that are switched off must place each request as before, whatever their
	 * endpoints state.
	 */
	@Test
	void choiceIsTheSameWhileSwitchedOff() {
		PoolBalancer off = new PoolBalancer(this.peers, (instance) -> true);
		off.policy(new RoutingPolicy("off", Set.of(), Map.of(),
				Map.of(OptionalMechanism.ENDPOINT_SPEED, OptionalSwitch.OFF)));
		off.endpoints(endpoints(12));
		this.balancer.endpoints(endpoints(12));
		Random random = new Random(SEED);
		for (int i = 1; i < 500; i++) {
			long now = i * 20_000_000L;
			Placement wanted = new Placement(prompt(random.nextInt(20)), true, i % 3 == 0, random.nextLong(), Set.of());
			Optional<FleetEndpoint> expected = this.balancer.choose(wanted, now);
			assertThat(off.choose(wanted, now)).isEqualTo(expected);
			String instance = expected.get().instance();
			PlacedRequest usual = this.balancer.begin(instance, wanted, QueuePosition.BEHIND_OTHERS, now);
			PlacedRequest stating = off.begin(instance, wanted, QueuePosition.BEHIND_OTHERS, now);
			usual.report(3, 1, now);
			stating.report(3, 1, OptionalInt.of(100 + random.nextInt(300)), now);
			long elapsed = random.nextInt(2_000_000_000);
			usual.streamBegan(elapsed);
			stating.streamBegan(elapsed);
			if (random.nextBoolean()) {
				usual.end(Outcome.GOOD, now + elapsed);
				stating.end(Outcome.GOOD, now + elapsed);
			}
		}
		assertThat(off.isPaceStated(0)).isTrue();
		assertThat(off.isLate("i1", prompt(1), 100_000_000L))
			.isEqualTo(this.balancer.isLate("i1", prompt(1), 100_000_000L));
	}

}
