package org.acaciacourse.core.balance;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of how {@link PoolBalancer} separates brief requests, long prompts and late
 * requests.
 */
class MixedPlacementTests extends BalancerTestBase {

	@Nested
	class Brief {

		private List<PlacedRequest> beginEightBrief(String instance) {
			return IntStream.range(0, 8).mapToObj((i) -> beginBrief(instance)).toList();
		}

		// Long prompts are prefilled between the tokens of running answers, whose events
		// are then late. The two kinds use separate endpoints, on which all entry VMs
		// agree.
		@Test
		void briefRequestsAndLongPromptsGetSeparateEndpoints() {
			MixedPlacementTests.this.balancer.endpoints(endpoints(12));
			Set<String> brief = new HashSet<>();
			Set<String> others = new HashSet<>();
			PromptShape small = new PromptShape(1_000, 1, List.of());
			for (long salt = 1; salt < 200; salt++) {
				others.add(choose(prompt(salt), salt, Set.of(), 0).get());
				brief.add(chooseBrief(small, salt).get());
			}
			assertThat(brief).hasSize(3);
			assertThat(others).hasSize(9);
			assertThat(brief).containsNoneIn(others);
		}

		/*
		 * An engine that was recently reserved for brief requests still runs eight of
		 * them. A long prompt would be prefilled between their events and delay them by a
		 * fifth of a second: each would miss its target gap for one prompt that would
		 * wait only briefly elsewhere.
		 */
		@Test
		void longPromptAvoidsRunningBriefAnswers() {
			MixedPlacementTests.this.balancer.endpoints(endpoints(6));
			String home = choose(prompt(1), 1, Set.of(), 0).get();
			List<PlacedRequest> brief = beginEightBrief(home);
			assertThat(choose(prompt(1), 1, Set.of(), 0)).isNotEqualTo(Optional.of(home));
			brief.forEach((request) -> request.end(Outcome.GOOD, 0));
			assertThat(choose(prompt(1), 1, Set.of(), 0)).isEqualTo(Optional.of(home));
		}

		/*
		 * In a burst of long prompts, short prompts that could be prefilled between two
		 * events wait half a second behind the long ones, while the engines for brief
		 * requests could prefill them.
		 */
		@Test
		void shortPromptsGoToTheEnginesForBriefRequestsInABurst() {
			MixedPlacementTests.this.balancer.endpoints(endpoints(6));
			PromptShape small = new PromptShape(2_000, 1, List.of());
			String brief = chooseBrief(small, 1).get();
			PromptShape burst = new PromptShape(20_000, 1, List.of());
			for (int i = 0; i < 8; i++) {
				begin(choose(burst, i, Set.of(), 0).get(), burst);
			}
			Set<String> taken = new HashSet<>();
			for (int i = 0; i < 4; i++) {
				String next = choose(small, i, Set.of(), 0).get();
				begin(next, small);
				taken.add(next);
			}
			assertThat(taken).contains(brief);
			assertThat(choose(burst, 99, Set.of(), 0)).isNotEqualTo(Optional.of(brief));
		}

		/*
		 * Another service aims for longer gaps between events, so that longer prompts are
		 * harmless.
		 */
		@Test
		void harmlessWorkFollowsFromTheTargetGap() {
			MixedPlacementTests.this.balancer.endpoints(endpoints(6));
			MixedPlacementTests.this.balancer.shortestGap(2_000);
			String home = choose(prompt(1), 1, Set.of(), 0).get();
			beginEightBrief(home);
			assertThat(choose(prompt(1), 1, Set.of(), 0)).isEqualTo(Optional.of(home));
		}

		@Test
		void briefRequestsUseOtherEndpointsWhenTheirOwnAreLost() {
			MixedPlacementTests.this.balancer.endpoints(endpoints(4));
			PromptShape small = new PromptShape(1_000, 1, List.of());
			String own = chooseBrief(small, 1).get();
			begin(own, small).end(Outcome.LOST, 0);
			assertThat(chooseBrief(small, 1)).isNotEqualTo(Optional.empty());
		}

	}

	// Long prompts arrive twice as fast as engines prefill them. Served in order of
	// arrival, all end up late, each by as much as its caller tolerates.
	@Nested
	class Late {

		private static final long TARGET = 1_500_000_000L;

		@Test
		void requestIsLateOnceQueuedWorkExceedsItsTarget() {
			MixedPlacementTests.this.balancer.endpoints(endpoints(1));
			assertThat(MixedPlacementTests.this.balancer.isLate("i0", prompt(1), TARGET)).isFalse();
			begin("i0", new PromptShape(40_000, 1, List.of()));
			assertThat(MixedPlacementTests.this.balancer.isLate("i0", prompt(1), TARGET)).isTrue();
		}

		/*
		 * Short prompts overtake the long ones of a burst, and each is answered within
		 * one step of the engine, though 80,000 tokens wait there. If these waits counted
		 * for the prefill rate, no long prompt would be considered late until all are.
		 */
		@Test
		void overtakingRequestsDoNotAffectThePrefillRate() {
			MixedPlacementTests.this.balancer.endpoints(endpoints(1));
			begin("i0", new PromptShape(60_000, 1, List.of()));
			for (int i = 0; i < 100; i++) {
				PlacedRequest urgent = MixedPlacementTests.this.balancer.begin("i0",
						new Placement(new PromptShape(2_000, 1, List.of()), true, false, i, Set.of()),
						QueuePosition.OVERTAKES_OTHERS, 0);
				urgent.streamBegan(200_000_000L);
				urgent.end(Outcome.GOOD, 0);
			}
			assertThat(MixedPlacementTests.this.balancer.isLate("i0", prompt(1), TARGET)).isTrue();
		}

		@Test
		void deferredRequestDelaysNobody() {
			MixedPlacementTests.this.balancer.endpoints(endpoints(1));
			PromptShape large = new PromptShape(40_000, 1, List.of());
			PlacedRequest deferred = MixedPlacementTests.this.balancer.begin("i0",
					new Placement(large, true, false, 0, Set.of()), QueuePosition.DEFERRED, 0);
			assertThat(deferred.estimate(0).waitingWork()).isEqualTo(0);
			assertThat(deferred.waitingWork()).isEqualTo(large.work(0));
			assertThat(MixedPlacementTests.this.balancer.isLate("i0", prompt(1), TARGET)).isFalse();
			deferred.streamBegan(1);
			assertThat(deferred.waitingWork()).isEqualTo(0);
		}

	}

}
