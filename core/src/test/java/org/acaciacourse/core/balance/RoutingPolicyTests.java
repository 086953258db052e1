package org.acaciacourse.core.balance;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link PoolBalancer} under policies. A mechanism that is off does not affect
 * the choice. It takes effect again under the next policy that has it on, with what was
 * learned in the meantime.
 */
class RoutingPolicyTests extends BalancerTestBase {

	private void policy(RoutingMechanism... off) {
		this.balancer.policy(new RoutingPolicy("p", Set.of(off), Map.of()));
	}

	@Test
	void pauseHoldsOnlyWhilePausesAreOn() {
		this.balancer.endpoints(endpoints(1));
		begin("i0", PromptShape.NONE).end(Outcome.LOST, 0);
		assertThat(choose(prompt(1), 1, Set.of(), 1).isPresent()).isFalse();
		policy(RoutingMechanism.PAUSES);
		assertThat(choose(prompt(1), 1, Set.of(), 1).isPresent()).isTrue();
		policy();
		assertThat(choose(prompt(1), 1, Set.of(), 1).isPresent()).isFalse();
	}

	@Test
	void failuresCountOnlyWhileTheyHaveAPrice() {
		this.balancer.endpoints(endpoints(2));
		PromptShape alone = new PromptShape(1_000, 1, List.of());
		String home = choose(alone, 1, Set.of(), 0).get();
		IntStream.range(0, 20).forEach((i) -> begin(home, PromptShape.NONE).end(Outcome.FAILED, 0));
		assertThat(choose(alone, 1, Set.of(), 1).get()).isNotEqualTo(home);
		policy(RoutingMechanism.PRICE_OF_FAILURES);
		assertThat(choose(alone, 1, Set.of(), 1).get()).isEqualTo(home);
	}

	@Test
	void partUsesAreReportedOnlyWhileThatIsOn() {
		this.balancer.endpoints(endpoints(2));
		policy(RoutingMechanism.PARTS_TOLD);
		begin("i0", prompt(1));
		assertThat(this.balancer.drainUnreportedUses()).isEmpty();
		policy();
		begin("i0", prompt(1));
		assertThat(this.balancer.drainUnreportedUses()).isNotEmpty();
	}

	@Test
	void poolIsDividedOnlyWhileBriefEnginesAreOn() {
		this.balancer.endpoints(endpoints(8));
		assertThat(this.balancer.division().isPresent()).isTrue();
		policy(RoutingMechanism.BRIEF_ENGINES, RoutingMechanism.BRIEF_ENGINES_FOLLOW_LOAD,
				RoutingMechanism.BRIEF_STAND_INS, RoutingMechanism.SHORT_BESIDE_BRIEF,
				RoutingMechanism.PRICE_OF_LATE_ANSWERS);
		assertThat(this.balancer.division().isPresent()).isFalse();
		policy();
		assertThat(this.balancer.division().isPresent()).isTrue();
	}

	@Test
	void lateRequestsAreDeferredOnlyWhileThatIsOn() {
		this.balancer.endpoints(endpoints(1));
		begin("i0", new PromptShape(90_000, 1, List.of()));
		assertThat(this.balancer.isLate("i0", prompt(1), SECOND)).isTrue();
		policy(RoutingMechanism.DEFERRAL);
		assertThat(this.balancer.isLate("i0", prompt(1), SECOND)).isFalse();
	}

	@Test
	void partsHaveAHomeOnlyWhileThatIsOn() {
		this.balancer.endpoints(endpoints(13));
		assertThat(homes()).hasSize(1);
		policy(RoutingMechanism.HOME_OF_PARTS);
		assertThat(homes().size()).isGreaterThan(1);
	}

	private Set<String> homes() {
		return LongStream.range(1, 30)
			.mapToObj((salt) -> choose(prompt(1), salt, Set.of(), 0).get())
			.collect(Collectors.toSet());
	}

	@Test
	void partIsPrefilledElsewhereOnceRecomputingHasNoPrice() {
		this.balancer.endpoints(endpoints(3));
		String home = choose(prompt(1), 1, Set.of(), 0).get();
		begin(home, prompt(1)).end(Outcome.GOOD, 0);
		begin(home, new PromptShape(30_000, 1, List.of()));
		assertThat(choose(prompt(1), 1, Set.of(), 0)).isEqualTo(Optional.of(home));
		policy(RoutingMechanism.PRICE_OF_READING_ANEW);
		assertThat(choose(prompt(1), 1, Set.of(), 0)).isNotEqualTo(Optional.of(home));
	}

	@Test
	void connectionsDecideAmongEqualsOnlyWhileTheyHaveAPrice() {
		PoolBalancer connectionAware = new PoolBalancer(this.peers, "i7"::equals);
		connectionAware.endpoints(endpoints(13));
		assertThat(chosenBy(connectionAware)).containsExactly("i7");
		connectionAware.policy(new RoutingPolicy("p", Set.of(RoutingMechanism.PRICE_OF_CONNECTIONS), Map.of()));
		assertThat(chosenBy(connectionAware).size()).isGreaterThan(1);
	}

	private static Set<String> chosenBy(PoolBalancer balancer) {
		return LongStream.range(1, 30)
			.mapToObj((salt) -> new Placement(PromptShape.NONE, false, false, salt, Set.of()))
			.map((asked) -> balancer.choose(asked, 0).get().instance())
			.collect(Collectors.toSet());
	}

	@Test
	void endpointWhoseStreamsStalledIsAvoidedOnlyWhileSuspectsAre() {
		this.balancer.endpoints(endpoints(2));
		String first = choose(PromptShape.NONE, 1, Set.of(), 0).get();
		PlacedRequest stream = begin(first, PromptShape.NONE);
		stream.streamBegan(1);
		stream.recordActivity(0);
		begin((first.equals("i0")) ? "i1" : "i0", PromptShape.NONE);
		assertThat(choose(PromptShape.NONE, 1, Set.of(), SECOND)).isNotEqualTo(Optional.of(first));
		policy(RoutingMechanism.SUSPECTS);
		assertThat(choose(PromptShape.NONE, 1, Set.of(), SECOND)).isEqualTo(Optional.of(first));
	}

	@Test
	void numberOfReservedEnginesFollowsTheLoadOnlyWhileThatIsOn() {
		this.balancer.endpoints(endpoints(8));
		policy(RoutingMechanism.BRIEF_ENGINES_FOLLOW_LOAD);
		IntStream.range(0, 60).forEach((i) -> beginBrief("i" + i % 8));
		choose(PromptShape.NONE, 1, Set.of(), SECOND);
		assertThat(this.balancer.division().get().engines()).isEqualTo(2);
		policy();
		choose(PromptShape.NONE, 1, Set.of(), 2 * SECOND);
		assertThat(this.balancer.division().get().engines()).isEqualTo(3);
	}

	@Test
	void longPromptJoinsBriefAnswersOnceTheirDelayHasNoPrice() {
		this.balancer.endpoints(endpoints(6));
		String home = choose(prompt(1), 1, Set.of(), 0).get();
		IntStream.range(0, 8).forEach((i) -> beginBrief(home));
		assertThat(choose(prompt(1), 1, Set.of(), 0)).isNotEqualTo(Optional.of(home));
		policy(RoutingMechanism.PRICE_OF_LATE_ANSWERS);
		assertThat(choose(prompt(1), 1, Set.of(), 0)).isEqualTo(Optional.of(home));
	}

	@Test
	void shortPromptsAvoidReservedEnginesOnceThatIsOff() {
		this.balancer.endpoints(endpoints(6));
		PromptShape small = new PromptShape(2_000, 1, List.of());
		Set<String> forBrief = LongStream.range(1, 30)
			.mapToObj((salt) -> chooseBrief(small, salt).get())
			.collect(Collectors.toSet());
		PromptShape burst = new PromptShape(20_000, 1, List.of());
		for (int i = 0; i < 8; i++) {
			begin(choose(burst, i, Set.of(), 0).get(), burst);
		}
		assertThat(forBrief).contains(choose(small, 1, Set.of(), 0).get());
		policy(RoutingMechanism.SHORT_BESIDE_BRIEF);
		assertThat(forBrief).doesNotContain(choose(small, 1, Set.of(), 0).get());
	}

	// The lowest permitted share is zero, but a divided pool needs an engine for each
	// kind.
	@Test
	void dividedPoolHasAReservedEngineWithAFirstShareOfZero() {
		this.balancer.endpoints(endpoints(8));
		this.balancer.policy(new RoutingPolicy("p", Set.of(), Map.of(RoutingParameter.FIRST_BRIEF_SHARE, 0.0)));
		assertThat(this.balancer.division().get().engines()).isEqualTo(1);
	}

}
