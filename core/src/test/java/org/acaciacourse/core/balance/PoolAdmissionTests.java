package org.acaciacourse.core.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.acaciacourse.core.admission.AdmissionDecision;
import org.acaciacourse.core.admission.AdmissionReason;
import org.acaciacourse.core.admission.Demand;
import org.acaciacourse.core.route.FleetEndpoint;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PoolAdmissionTests {

	private static final long SECOND = 1_000_000_000L;

	private static final int SLOTS = 4;

	private static final PromptShape PROMPT = new PromptShape(20_000, 20, List.of(new PromptShape.Part(1, 20_000)));

	private final PeerLoads peers = new PeerLoads();

	private final PoolBalancer balancer = new PoolBalancer(this.peers, (instance) -> true);

	private final List<FleetEndpoint> endpoints = List.of(endpoint("i0"), endpoint("i1"));

	private static FleetEndpoint endpoint(String instance) {
		return new FleetEndpoint(instance, "pool", "127.0.0.1:1", "dc", SLOTS, false);
	}

	@BeforeEach
	void switchOn() {
		this.balancer.endpoints(this.endpoints);
		this.balancer.policy(RoutingPolicy.DEFAULT.withDefaultsOn(Set.of(OptionalMechanism.ADMISSION)));
	}

	private static Placement placement(PromptShape shape) {
		return new Placement(shape, true, false, 1, Set.of());
	}

	private static Demand stream(double remainingSeconds) {
		return new Demand(1, true, false, 20, SECOND, (long) (remainingSeconds * SECOND), 0);
	}

	private static Demand plain(double remainingSeconds) {
		return new Demand(1, false, false, 0, SECOND, (long) (remainingSeconds * SECOND), 0);
	}

	private PoolAdmission admission() {
		return this.balancer.admission(0).orElseThrow();
	}

	private PlacedRequest send(String instance, PromptShape shape, Demand demand, long now) {
		PlacedRequest placed = this.balancer.begin(instance, placement(shape), QueuePosition.BEHIND_OTHERS, now);
		admission().sent(placed, demand, now);
		return placed;
	}

	private List<PlacedRequest> fill(int perEndpoint, Demand demand, PromptShape shape) {
		List<PlacedRequest> all = new ArrayList<>();
		for (int i = 0; i < perEndpoint; i++) {
			this.endpoints.forEach((endpoint) -> all.add(send(endpoint.instance(), shape, demand, 0)));
		}
		return all;
	}

	private AdmissionDecision decide(PromptShape shape, Demand demand, long now) {
		return admission().decide(this.endpoints.get(0), placement(shape), demand, now);
	}

	/* Pools of other deployments must be served exactly as before. */
	@Test
	void notInUseUnlessSwitchedOn() {
		this.balancer.policy(RoutingPolicy.DEFAULT);
		assertThat(this.balancer.admission(0).isPresent()).isFalse();
	}

	@Nested
	class Streams {

		@Test
		void requestIsSentWhereItIsInTime() {
			fill(4, stream(8), PROMPT);
			AdmissionDecision decision = decide(PROMPT, stream(8), 0);
			assertThat(decision.reason()).isEqualTo(AdmissionReason.IN_TIME);
			assertThat(decision.endpoint()).isEqualTo(PoolAdmissionTests.this.endpoints.get(0));
		}

		/* Such a request ran until its deadline, and others waited for it. */
		@Test
		void requestThatNoEndpointServesInTimeIsRefused() {
			fill(4, stream(8), PROMPT);
			AdmissionDecision decision = decide(PROMPT, stream(1), 0);
			assertThat(decision.reason()).isEqualTo(AdmissionReason.TOO_LATE);
			assertThat(decision.running()).isEqualTo(8);
			assertThat(decision.slots()).isEqualTo(8);
			assertThat(decision.retryAfter().toMillis()).isAtLeast(2_000);
		}

		@Test
		void anotherEndpointIsTakenIfItServesInTime() {
			for (int i = 0; i < 6; i++) {
				send("i0", PROMPT, stream(8), 0);
			}
			send("i1", PROMPT, stream(8), 0);
			AdmissionDecision decision = decide(PROMPT, stream(2), 0);
			assertThat(decision.reason()).isEqualTo(AdmissionReason.ELSEWHERE);
			assertThat(decision.endpoint().instance()).isEqualTo("i1");
		}

		/*
		 * An estimate that is too high must not refuse what an idle endpoint can serve.
		 */
		@Test
		void nothingIsRefusedWhileAnEndpointIsIdle() {
			for (int i = 0; i < 8; i++) {
				send("i0", PROMPT, stream(8), 0);
			}
			assertThat(decide(PROMPT, stream(0.1), 0).reason()).isEqualTo(AdmissionReason.FREE_SLOT);
		}

		@Test
		void nothingIsRefusedWhileHalfOfTheSlotsAreFree() {
			fill(2, stream(8), PROMPT);
			assertThat(decide(PROMPT, stream(0.1), 0).reason()).isEqualTo(AdmissionReason.HALF_EMPTY);
		}

		/* All VMs start at once: none of them sees what the others send. */
		@Test
		void vmThatJustStartedCountsOthersAsItself() {
			PoolAdmissionTests.this.balancer.entryVms(20);
			fill(1, stream(8), PROMPT);
			assertThat(decide(PROMPT, stream(2), 0).reason()).isEqualTo(AdmissionReason.TOO_LATE);
		}

		/* A VM whose peers are idle gets no digests, and all of the capacity is free. */
		@Test
		void vmWithoutDigestsCountsItselfOnlyLater() {
			PoolAdmissionTests.this.balancer.entryVms(20);
			fill(1, stream(8), PROMPT);
			assertThat(decide(PROMPT, stream(2), 2 * SECOND).reason()).isEqualTo(AdmissionReason.IN_TIME);
		}

		/* What showed that endpoints are slow may be over. */
		@Test
		void slowAnswersAreForgottenWithoutObservations() {
			List<PlacedRequest> slow = fill(4, stream(8), PROMPT);
			slow.forEach((placed) -> placed.streamBegan(20 * SECOND));
			AdmissionDecision then = decide(PROMPT, stream(8), 20 * SECOND);
			AdmissionDecision later = decide(PROMPT, stream(8), 30 * SECOND);
			assertThat(then.needed()).isGreaterThan(later.needed());
			assertThat(later.margin()).isWithin(0.01).of(1.25);
		}

	}

	@Nested
	class PlainRequests {

		@Test
		void requestIsSentWhileNothingIsKnown() {
			fill(8, plain(1), PromptShape.NONE);
			assertThat(decide(PromptShape.NONE, plain(0.001), 0).reason()).isEqualTo(AdmissionReason.UNKNOWN);
		}

		@Test
		void requestIsRefusedIfWaitingOnesTakeTooLong() {
			List<PlacedRequest> first = fill(1, plain(1), PromptShape.NONE);
			first.forEach((placed) -> placed.end(Outcome.GOOD, SECOND / 2));
			fill(12, plain(1), PromptShape.NONE);
			assertThat(decide(PromptShape.NONE, plain(1), SECOND).reason()).isEqualTo(AdmissionReason.TOO_LATE);
			assertThat(decide(PromptShape.NONE, plain(4), SECOND).reason()).isEqualTo(AdmissionReason.IN_TIME);
		}

	}

}
