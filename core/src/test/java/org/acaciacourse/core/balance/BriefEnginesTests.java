package org.acaciacourse.core.balance;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.core.speed.PoolSpeeds;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class BriefEnginesTests {

	private static final long SECOND = 1_000_000_000L;

	private static final long STEP = SECOND / 20;

	private static final long TYPICAL_PROMPT = 10_000;

	private final BriefEngines engines = new BriefEngines();

	private List<EndpointLoad> loads = List.of();

	private long now;

	private void pool(int count, int slots) {
		PeerLoads peers = new PeerLoads();
		this.loads = IntStream.range(0, count)
			.mapToObj((i) -> new EndpointLoad(new FleetEndpoint("i" + i, "pool", "127.0.0.1:1", "dc", slots, false),
					peers, new RefusalLimit(peers), RateLimits.ofSingleVm(), new EndpointRests(""),
					new PoolSpeeds(peers.speeds())))
			.toList();
		this.engines.divide(this.loads);
	}

	private long reservedCount() {
		return this.loads.stream().filter(this.engines::contains).count();
	}

	private EndpointLoad anyReserved() {
		return this.loads.stream().filter(this.engines::contains).findFirst().orElseThrow();
	}

	private void runBrief(int brief) {
		EndpointLoad load = anyReserved();
		IntStream.range(0, brief).forEach((i) -> load.briefBegan());
	}

	private void queueOnOthers(long work) {
		this.loads.stream().filter((load) -> !this.engines.contains(load)).forEach((load) -> load.begin(work));
	}

	private void advance(long nanos) {
		for (long end = this.now + nanos; this.now < end; this.now += STEP) {
			this.engines.update(this.now);
		}
	}

	@Nested
	class LongPromptsWait {

		/*
		 * A burst of long prompts arrives while few brief requests run. With two of six
		 * engines reserved for these, half of the long prompts are late.
		 */
		@Test
		void unneededReservedEngineIsReleased() {
			pool(6, 64);
			assertThat(reservedCount()).isEqualTo(2);
			runBrief(25);
			queueOnOthers(2 * TYPICAL_PROMPT);
			advance(2 * SECOND);
			assertThat(reservedCount()).isEqualTo(1);
		}

		/*
		 * Brief requests burst as well: on one engine they would fill its batch and all
		 * be late. They are more urgent.
		 */
		@Test
		void reservedEngineIsKeptWhileBriefRequestsNeedIt() {
			pool(6, 64);
			runBrief(60);
			queueOnOthers(2 * TYPICAL_PROMPT);
			advance(2 * SECOND);
			assertThat(reservedCount()).isEqualTo(2);
		}

		/* A cluster of prompts that is prefilled immediately is not a burst. */
		@Test
		void shortPromptClusterChangesNothing() {
			pool(6, 64);
			runBrief(25);
			queueOnOthers(2 * TYPICAL_PROMPT);
			advance(2 * STEP);
			this.loads().forEach((load) -> load.prefillDone(2 * TYPICAL_PROMPT));
			advance(2 * SECOND);
			assertThat(reservedCount()).isEqualTo(2);
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
			assertThat(reservedCount()).isEqualTo(1);
			queueOnOthers(5 * TYPICAL_PROMPT);
			runBrief(60);
			advance(SECOND);
			assertThat(reservedCount()).isEqualTo(2);
		}

		@Test
		void idleEngineIsReserved() {
			pool(4, 64);
			runBrief(20);
			advance(SECOND);
			assertThat(reservedCount()).isEqualTo(2);
		}

		@Test
		void atMostHalfOfTheEnginesAreReserved() {
			pool(4, 64);
			runBrief(500);
			advance(10 * SECOND);
			assertThat(reservedCount()).isEqualTo(2);
		}

		/*
		 * With many small engines and little to prefill, the number follows the running
		 * requests.
		 */
		@Test
		void manySmallEnginesFollowWithinSeconds() {
			pool(40, 16);
			runBrief(70);
			advance(8 * SECOND);
			assertThat(reservedCount()).isEqualTo(18);
		}

		/*
		 * A burst of brief requests arrives at a hundred small engines. If one engine is
		 * added every half second, they are still full when the burst is over.
		 */
		@Test
		void burstReservesManyEnginesAtOnce() {
			pool(100, 16);
			queueOnOthers(TYPICAL_PROMPT);
			runBrief(570);
			advance(SECOND);
			assertThat(reservedCount()).isEqualTo(40);
		}

	}

	@Nested
	class Loss {

		/*
		 * The only engine for brief requests is lost. Until the endpoint list shows that,
		 * brief requests would be spread over all engines that prefill long prompts.
		 */
		@Test
		void nextEngineStandsIn() {
			pool(4, 64);
			EndpointLoad lost = anyReserved();
			lost.lost(0);
			advance(STEP);
			assertThat(reservedCount()).isEqualTo(1);
			assertThat(BriefEnginesTests.this.engines.contains(lost)).isFalse();
			lost.succeeded();
			advance(STEP);
			assertThat(BriefEnginesTests.this.engines.contains(lost)).isTrue();
		}

		@Test
		void nothingStandsInWhenSwitchedOff() {
			pool(4, 64);
			BriefEnginesTests.this.engines.policy(
					new RoutingPolicy("p", Set.of(RoutingMechanism.BRIEF_STAND_INS), Map.of()),
					BriefEnginesTests.this.loads);
			EndpointLoad lost = anyReserved();
			lost.lost(0);
			advance(STEP);
			assertThat(BriefEnginesTests.this.engines.contains(lost)).isTrue();
		}

		@Test
		void poolOfLostEnginesStaysDivided() {
			pool(4, 64);
			BriefEnginesTests.this.loads.forEach((load) -> load.lost(0));
			advance(STEP);
			assertThat(reservedCount()).isEqualTo(1);
		}

		/* Half of the engines leave while brief requests need all of theirs. */
		@Test
		void smallerPoolIsRedivided() {
			pool(8, 64);
			runBrief(500);
			advance(5 * SECOND);
			assertThat(reservedCount()).isEqualTo(4);
			BriefEnginesTests.this.engines.divide(BriefEnginesTests.this.loads.subList(0, 4));
			advance(STEP);
			assertThat(reservedCount()).isEqualTo(2);
		}

		@Test
		void fewEnginesAreNotDivided() {
			pool(3, 64);
			BriefEnginesTests.this.loads.forEach(EndpointLoad::briefBegan);
			advance(SECOND);
			assertThat(BriefEnginesTests.this.engines.isDivided()).isFalse();
		}

	}

}
