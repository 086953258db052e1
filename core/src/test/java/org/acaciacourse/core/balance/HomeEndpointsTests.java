package org.acaciacourse.core.balance;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciacourse.core.route.FleetEndpoint;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class HomeEndpointsTests extends BalancerTestBase {

	private static final int ENGINES = 13;

	private String primary;

	@BeforeEach
	void findPrimary() {
		this.balancer.endpoints(endpoints(ENGINES));
		this.primary = choose(prompt(1), 1, Set.of(), 0).get();
	}

	private void queueAtPrimary(long tokens) {
		begin(this.primary, new PromptShape(tokens, 1, List.of()));
	}

	private void prefillAtPrimary() {
		begin(this.primary, prompt(1)).end(Outcome.GOOD, 0);
	}

	@Test
	void thereIsNoSecondaryHomeWhenSwitchedOff() {
		HomeEndpointsTests.this.balancer
			.policy(new RoutingPolicy("one-home", Set.of(RoutingMechanism.SECOND_HOME), Map.of()));
		queueAtPrimary(20_000);
		assertThat(choose(prompt(1), 1, Set.of(), 0)).isEqualTo(Optional.of(this.primary));
	}

	@Nested
	class NewPart {

		/*
		 * Entry VMs that do not know of each other's load yet divert a new part from its
		 * busy primary home. They must agree on where: otherwise it is prefilled by as
		 * many engines as there are entry VMs.
		 */
		@Test
		void isPrefilledAtTheSameSecondaryByAllEntryVms() {
			queueAtPrimary(20_000);
			String second = choose(prompt(1), 1, Set.of(), 0).get();
			assertThat(second).isNotEqualTo(HomeEndpointsTests.this.primary);
			PoolBalancer other = new PoolBalancer(new PeerLoads(), (instance) -> true);
			other.endpoints(endpoints(ENGINES));
			begin(other, HomeEndpointsTests.this.primary, new PromptShape(40_000, 1, List.of()));
			for (int salt = 0; salt < 20; salt++) {
				Placement request = new Placement(prompt(1), true, false, salt, Set.of());
				assertThat(other.choose(request, 0).map(FleetEndpoint::instance)).isEqualTo(Optional.of(second));
			}
		}

		@Test
		void staysAtThePrimaryWhenItsQueueIsShort() {
			queueAtPrimary(3_000);
			assertThat(choose(prompt(1), 1, Set.of(), 0)).isEqualTo(Optional.of(HomeEndpointsTests.this.primary));
		}

	}

	@Nested
	class CachedPart {

		@Test
		void staysAtThePrimaryWhenItsQueueCostsLessThanRecomputing() {
			prefillAtPrimary();
			queueAtPrimary(30_000);
			assertThat(choose(prompt(1), 1, Set.of(), 0)).isEqualTo(Optional.of(HomeEndpointsTests.this.primary));
		}

		@Test
		void isPrefilledAgainWhenThePrimaryQueueIsLong() {
			prefillAtPrimary();
			queueAtPrimary(60_000);
			assertThat(choose(prompt(1), 1, Set.of(), 0)).isNotEqualTo(Optional.of(HomeEndpointsTests.this.primary));
		}

		/*
		 * Both homes of a part are busy. Each further copy would evict other parts, which
		 * are then prefilled again while all queues grow.
		 */
		@Test
		void isNotPrefilledAtAThirdEndpoint() {
			prefillAtPrimary();
			queueAtPrimary(60_000);
			String second = choose(prompt(1), 1, Set.of(), 0).get();
			begin(second, prompt(1)).end(Outcome.GOOD, 0);
			begin(second, new PromptShape(30_000, 1, List.of()));
			assertThat(choose(prompt(1), 1, Set.of(), 0)).isEqualTo(Optional.of(second));
		}

	}

}
