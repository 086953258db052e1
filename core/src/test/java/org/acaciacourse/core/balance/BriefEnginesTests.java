package org.acaciacourse.core.balance;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

import org.acaciacourse.core.route.FleetEndpoint;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class BriefEnginesTests {

	private static final long SECOND = 1_000_000_000L;

	private static final long STEP = SECOND / 20;

	private static final long USUAL_PROMPT = 10_000;

	private final BriefEngines engines = new BriefEngines();

	private List<EndpointLoad> loads = List.of();

	private long now;

	private void pool(int count, int slots) {
		PeerLoads peers = new PeerLoads();
		this.loads = IntStream.range(0, count)
			.mapToObj((i) -> new EndpointLoad(new FleetEndpoint("i" + i, "pool", "127.0.0.1:1", "dc", slots, false),
					peers))
			.toList();
		this.engines.divide(this.loads);
	}

	private long forBrief() {
		return this.loads.stream().filter(this.engines::contains).count();
	}

	private EndpointLoad anyForBrief() {
		return this.loads.stream().filter(this.engines::contains).findFirst().orElseThrow();
	}

	private void run(int brief) {
		EndpointLoad load = anyForBrief();
		IntStream.range(0, brief).forEach((i) -> load.briefBegan());
	}

	private void waitEverywhereElse(long work) {
		this.loads.stream().filter((load) -> !this.engines.contains(load)).forEach((load) -> load.begin(work));
	}

	private void pass(long nanos) {
		for (long end = this.now + nanos; this.now < end; this.now += STEP) {
			this.engines.follow(this.now);
		}
	}

	@Nested
	class LongPromptsWait {

		/*
		 * A burst of long prompts comes while few brief requests run. With two of six
		 * engines kept for these, half of the long prompts are late.
		 */
		@Test
		void engineThatIsNotNeededIsGivenBack() {
			pool(6, 64);
			assertThat(forBrief()).isEqualTo(2);
			run(25);
			waitEverywhereElse(2 * USUAL_PROMPT);
			pass(2 * SECOND);
			assertThat(forBrief()).isEqualTo(1);
		}

		/*
		 * Brief requests burst as well: on one engine they would fill its batch, and all
		 * of them would be late. They are more urgent.
		 */
		@Test
		void engineIsKeptThatBriefRequestsNeed() {
			pool(6, 64);
			run(60);
			waitEverywhereElse(2 * USUAL_PROMPT);
			pass(2 * SECOND);
			assertThat(forBrief()).isEqualTo(2);
		}

		/* A clump of prompts that is read in a moment is no burst. */
		@Test
		void clumpOfPromptsChangesNothing() {
			pool(6, 64);
			run(25);
			waitEverywhereElse(2 * USUAL_PROMPT);
			pass(2 * STEP);
			this.loads().forEach((load) -> load.promptRead(2 * USUAL_PROMPT));
			pass(2 * SECOND);
			assertThat(forBrief()).isEqualTo(2);
		}

		private List<EndpointLoad> loads() {
			return BriefEnginesTests.this.loads;
		}

	}

	@Nested
	class BriefRequestsRun {

		@Test
		void nearlyFullEngineGetsAnotherOneWhateverWaitsElsewhere() {
			pool(4, 64);
			assertThat(forBrief()).isEqualTo(1);
			waitEverywhereElse(5 * USUAL_PROMPT);
			run(60);
			pass(SECOND);
			assertThat(forBrief()).isEqualTo(2);
		}

		@Test
		void engineThatNobodyElseNeedsIsTheirs() {
			pool(4, 64);
			run(20);
			pass(SECOND);
			assertThat(forBrief()).isEqualTo(2);
		}

		@Test
		void halfOfTheEnginesIsTheMost() {
			pool(4, 64);
			run(500);
			pass(10 * SECOND);
			assertThat(forBrief()).isEqualTo(2);
		}

		/* Many small engines and little to read: the number follows what runs. */
		@Test
		void manySmallEnginesFollowWithinSeconds() {
			pool(40, 16);
			run(70);
			pass(8 * SECOND);
			assertThat(forBrief()).isEqualTo(18);
		}

		/*
		 * A burst of brief requests comes to a hundred small engines. With one engine
		 * more in each half second they are still full when it is over.
		 */
		@Test
		void burstGetsManyEnginesAtOnce() {
			pool(100, 16);
			waitEverywhereElse(USUAL_PROMPT);
			run(570);
			pass(SECOND);
			assertThat(forBrief()).isEqualTo(40);
		}

	}

	@Nested
	class Loss {

		/*
		 * The only engine for brief requests is lost. Until the list shows that, they
		 * would be spread over all engines that read long prompts.
		 */
		@Test
		void nextEngineStandsIn() {
			pool(4, 64);
			EndpointLoad lost = anyForBrief();
			lost.lost(0);
			pass(STEP);
			assertThat(forBrief()).isEqualTo(1);
			assertThat(BriefEnginesTests.this.engines.contains(lost)).isFalse();
			lost.succeeded();
			pass(STEP);
			assertThat(BriefEnginesTests.this.engines.contains(lost)).isTrue();
		}

		@Test
		void nothingStandsInWhileThatIsOff() {
			pool(4, 64);
			BriefEnginesTests.this.engines.policy(
					new RoutingPolicy("p", Set.of(RoutingMechanism.BRIEF_STAND_INS), Map.of()),
					BriefEnginesTests.this.loads);
			EndpointLoad lost = anyForBrief();
			lost.lost(0);
			pass(STEP);
			assertThat(BriefEnginesTests.this.engines.contains(lost)).isTrue();
		}

		@Test
		void poolOfLostEnginesStaysDivided() {
			pool(4, 64);
			BriefEnginesTests.this.loads.forEach((load) -> load.lost(0));
			pass(STEP);
			assertThat(forBrief()).isEqualTo(1);
		}

		/* Half of the engines leave while brief requests need all that they have. */
		@Test
		void smallerPoolIsDividedAnew() {
			pool(8, 64);
			run(500);
			pass(5 * SECOND);
			assertThat(forBrief()).isEqualTo(4);
			BriefEnginesTests.this.engines.divide(BriefEnginesTests.this.loads.subList(0, 4));
			pass(STEP);
			assertThat(forBrief()).isEqualTo(2);
		}

		@Test
		void fewEnginesAreNotDivided() {
			pool(3, 64);
			BriefEnginesTests.this.loads.forEach(EndpointLoad::briefBegan);
			pass(SECOND);
			assertThat(BriefEnginesTests.this.engines.isDivided()).isFalse();
		}

	}

}
