package org.acaciacourse.core.balance;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.acaciacourse.core.route.FleetEndpoint;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EndpointRestsTests {

	private static final long SECOND = BalancerTestBase.SECOND;

	private static final Duration REST = Duration.ofSeconds(3);

	private static final Duration LONGEST = Duration.ofMillis(3_600);

	private final EndpointRests rests = new EndpointRests("10.0.0.1:1");

	@Nested
	class Times {

		@Test
		void restLastsAsLongAsWasAskedFor() {
			EndpointRestsTests.this.rests.ask("i0", REST, SECOND);
			assertThat(EndpointRestsTests.this.rests.isResting("i0", SECOND)).isTrue();
			assertThat(EndpointRestsTests.this.rests.isResting("i0", SECOND + REST.toNanos() - 1)).isTrue();
			assertThat(EndpointRestsTests.this.rests.isResting("i0", SECOND + LONGEST.toNanos())).isFalse();
			assertThat(EndpointRestsTests.this.rests.isResting("i1", SECOND)).isFalse();
		}

		// Guards against a later response, sent over another connection, that ends a
		// rest.
		@Test
		void shorterRestDoesNotEndALongerOne() {
			EndpointRestsTests.this.rests.ask("i0", REST, 0);
			EndpointRestsTests.this.rests.ask("i0", Duration.ZERO, SECOND);
			EndpointRestsTests.this.rests.ask("i0", Duration.ofMillis(100), SECOND);
			assertThat(EndpointRestsTests.this.rests.isResting("i0", REST.toNanos() - 1)).isTrue();
		}

		// Guards against a damaged number that excludes an endpoint for good.
		@Test
		void restIsBounded() {
			EndpointRestsTests.this.rests.ask("i0", Duration.ofSeconds(9_999_999_999L), 0);
			assertThat(EndpointRestsTests.this.rests.isResting("i0", 3_600 * SECOND - 1)).isTrue();
			assertThat(EndpointRestsTests.this.rests.isResting("i0", 4_400 * SECOND)).isFalse();
		}

		@Test
		void sweepRemovesOnlyWhatHasEnded() {
			EndpointRestsTests.this.rests.ask("i0", REST, 0);
			EndpointRestsTests.this.rests.sweep(SECOND);
			assertThat(EndpointRestsTests.this.rests.isResting("i0", SECOND)).isTrue();
		}

		// Guards against VMs that were refused together and return together, all with the
		// requests that have waited for it.
		@Test
		void vmsReturnAtDifferentTimes() {
			Set<Duration> ends = IntStream.range(0, 20).mapToObj((vm) -> {
				EndpointRests own = new EndpointRests("10.0.0." + vm + ":1");
				own.ask("i0", REST, 0);
				return own.remaining("i0", 0);
			}).collect(Collectors.toSet());
			assertThat(ends.size()).isAtLeast(15);
			ends.forEach((end) -> assertThat(end).isAtLeast(REST));
			ends.forEach((end) -> assertThat(end).isAtMost(LONGEST));
		}

	}

	@Nested
	class Choices {

		private final PoolBalancer balancer = new PoolBalancer(new PeerLoads(), RateLimits.ofSingleVm(),
				EndpointRestsTests.this.rests, (instance) -> true);

		private Placement placement(boolean brief, Set<String> excluded) {
			return new Placement(BalancerTestBase.prompt(7), true, brief, 0, excluded);
		}

		private void restAllBut(List<FleetEndpoint> endpoints, String instance) {
			endpoints.stream()
				.map(FleetEndpoint::instance)
				.filter((other) -> !other.equals(instance))
				.forEach((other) -> EndpointRestsTests.this.rests.ask(other, REST, 0));
		}

		// Guards against ways to choose an endpoint that do not look at rests: homes of
		// parts, engines for brief requests, the policy without pauses.
		@Test
		void restingEndpointIsNeverChosen() {
			List<FleetEndpoint> endpoints = BalancerTestBase.endpoints(8);
			this.balancer.endpoints(endpoints);
			restAllBut(endpoints, "i5");
			for (boolean brief : List.of(false, true)) {
				assertThat(this.balancer.choose(placement(brief, Set.of()), SECOND).orElseThrow().instance())
					.isEqualTo("i5");
				assertThat(this.balancer.choose(placement(brief, Set.of("i5")), SECOND)).isEmpty();
			}
			this.balancer.policy(new RoutingPolicy("p", Set.of(RoutingMechanism.values()), Map.of()));
			assertThat(this.balancer.choose(placement(false, Set.of("i5")), SECOND)).isEmpty();
			assertThat(this.balancer.choose(placement(false, Set.of("i5")), LONGEST.toNanos())).isPresent();
		}

		// Guards against a response that ends well, or a list without the endpoint for a
		// moment, and with it the rest.
		@Test
		void restOutlastsResponsesAndGapsInTheList() {
			this.balancer.endpoints(BalancerTestBase.endpoints(1));
			PlacedRequest earlier = BalancerTestBase.begin(this.balancer, "i0", PromptShape.NONE);
			EndpointRestsTests.this.rests.ask("i0", REST, 0);
			earlier.end(Outcome.GOOD, SECOND);
			this.balancer.endpoints(List.of());
			this.balancer.endpoints(BalancerTestBase.endpoints(1));
			assertThat(this.balancer.choose(placement(false, Set.of()), SECOND)).isEmpty();
		}

		// Guards against callers that are told to come back while all endpoints rest.
		@Test
		void restOfAllEndsWithTheFirstOne() {
			List<FleetEndpoint> endpoints = BalancerTestBase.endpoints(3);
			this.balancer.endpoints(endpoints);
			restAllBut(endpoints, "i1");
			assertThat(this.balancer.restOfAll(placement(false, Set.of()), 0)).isEqualTo(Duration.ZERO);
			assertThat(this.balancer.restOfAll(placement(false, Set.of("i1")), 0)).isAtLeast(REST);
			EndpointRestsTests.this.rests.ask("i1", Duration.ofSeconds(1), 0);
			assertThat(this.balancer.restOfAll(placement(false, Set.of()), 0)).isAtMost(Duration.ofMillis(1_200));
			assertThat(this.balancer.restOfAll(placement(false, Set.of("i0", "i1", "i2")), 0)).isEqualTo(Duration.ZERO);
		}

	}

}
