package org.acaciacourse.core.scaling;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciacourse.core.duty.DutyAnswer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EndpointOrdersTests {

	private static final Map<String, Integer> PERMANENT = Map.of("a", 21, "b", 21, "c", 10);

	private static SimulatedFleet fleet() {
		return new SimulatedFleet(42, 0.18, PERMANENT);
	}

	private static SimulatedFleet replaced() {
		SimulatedFleet fleet = fleet();
		fleet.run(20);
		return fleet;
	}

	private static void checkReplaced(SimulatedFleet fleet) {
		PERMANENT.keySet()
			.forEach((dataCentre) -> assertThat(fleet.serving(dataCentre, EndpointKind.PERMANENT)).isEqualTo(0));
		assertThat(fleet.serving("a", EndpointKind.RECLAIMABLE)).isEqualTo(29);
		assertThat(fleet.serving("b", EndpointKind.RECLAIMABLE)).isEqualTo(29);
		assertThat(fleet.serving("c", EndpointKind.RECLAIMABLE)).isEqualTo(14);
	}

	@Nested
	class Replacement {

		// Guards against a pool that has no room while its endpoints are replaced.
		@Test
		void permanentEndpointsStayUntilOthersServe() {
			SimulatedFleet fleet = fleet();
			fleet.run(30, (running) -> PERMANENT
				.forEach((dataCentre, count) -> assertThat(running.serving(dataCentre)).isAtLeast(count)));
			checkReplaced(fleet);
		}

		// Guards against calls that are charged for without need.
		@Test
		void nothingIsOrderedOnceAllServe() {
			SimulatedFleet fleet = replaced();
			int calls = fleet.calls;
			assertThat(calls).isAtMost(9);
			fleet.run(300);
			assertThat(fleet.calls).isEqualTo(calls);
		}

		@Test
		void poolWhoseReclaimableEndpointsAreNotCheaperIsLeftAlone() {
			SimulatedFleet fleet = new SimulatedFleet(42, 1, PERMANENT);
			fleet.run(20);
			assertThat(fleet.calls).isEqualTo(0);
		}

		@Test
		void poolWithoutRoomForBothKindsIsLeftAlone() {
			SimulatedFleet fleet = new SimulatedFleet(21, 0.18, Map.of("a", 21));
			fleet.run(20);
			assertThat(fleet.calls).isEqualTo(0);
		}

		@Test
		void nothingIsTakenAwayWhereNoneAreToBeHad() {
			SimulatedFleet fleet = fleet();
			fleet.unavailable.add("b");
			fleet.run(60);
			assertThat(fleet.serving("a", EndpointKind.PERMANENT)).isEqualTo(0);
			assertThat(fleet.serving("b", EndpointKind.PERMANENT)).isEqualTo(21);
			fleet.unavailable.clear();
			fleet.run(20);
			checkReplaced(fleet);
		}

	}

	@Nested
	class Reclaim {

		// Guards against endpoints that are not ordered again after the platform took
		// them.
		@Test
		void endpointsAreOrderedAgainOnceTheyAreToBeHad() {
			SimulatedFleet fleet = replaced();
			fleet.reclaim("a");
			int calls = fleet.calls;
			fleet.run(20);
			assertThat(fleet.calls - calls).isAtMost(20 / 3 + 1);
			assertThat(fleet.serving("a")).isEqualTo(0);
			fleet.unavailable.clear();
			fleet.run(12);
			checkReplaced(fleet);
		}

		// Guards against a holder that takes the endpoints that are left for the
		// provision.
		@Test
		void nextHolderKeepsTheProvision() {
			SimulatedFleet fleet = replaced();
			fleet.reclaim("a");
			fleet.takeOver();
			fleet.run(10);
			fleet.unavailable.clear();
			fleet.run(20);
			checkReplaced(fleet);
		}

		// Guards against permanent endpoints that stay for good as the first replacements
		// were
		// taken back before they served.
		@Test
		void replacementGoesOnAfterAReclaimInItsMidst() {
			SimulatedFleet fleet = fleet();
			fleet.run(5);
			fleet.reclaim("a");
			fleet.run(10);
			assertThat(fleet.serving("a", EndpointKind.PERMANENT)).isEqualTo(21);
			fleet.unavailable.clear();
			fleet.run(30);
			checkReplaced(fleet);
		}

		// Guards against a holder that orders permanent endpoints away whose replacements
		// are
		// gone since the one before recorded them.
		@Test
		void nextHolderChecksThatReplacementsServe() {
			SimulatedFleet fleet = fleet();
			fleet.run(5);
			fleet.record("pool", new PoolProvision(Map.of(), Set.of("a")));
			fleet.reclaim("a");
			fleet.takeOver();
			fleet.run(10);
			assertThat(fleet.serving("a", EndpointKind.PERMANENT)).isEqualTo(21);
			fleet.unavailable.clear();
			fleet.run(30);
			checkReplaced(fleet);
		}

		// Guards against a holder that ended between the order and the replacement.
		@Test
		void nextHolderGoesOnWithTheReplacement() {
			for (int tenths = 1; tenths < 10; tenths++) {
				SimulatedFleet fleet = fleet();
				for (int i = 0; i < 12; i++) {
					fleet.run(1);
					if (i == tenths) {
						fleet.takeOver();
					}
				}
				fleet.run(20);
				checkReplaced(fleet);
			}
		}

	}

	@Nested
	class Answers {

		// Guards against an order that is carried out after a newer one and undoes it.
		@Test
		void orderThatIsCarriedOutLateUndoesNothing() {
			SimulatedFleet fleet = fleet();
			fleet.carriedOutLate = true;
			fleet.run(6);
			fleet.carriedOutLate = false;
			assertThat(fleet.releases).isAtLeast(1);
			fleet.run(40);
			checkReplaced(fleet);
		}

		@Test
		void silentPlatformIsNotPressed() {
			SimulatedFleet fleet = replaced();
			fleet.reclaim("a");
			fleet.fault = Optional.of(DutyAnswer.UNANSWERED);
			int calls = fleet.calls;
			fleet.run(60);
			assertThat(fleet.calls - calls).isAtMost(30);
			fleet.fault = Optional.empty();
			fleet.unavailable.clear();
			fleet.run(20);
			checkReplaced(fleet);
		}

		// Guards against a loop on a number that the platform has refused for good.
		@Test
		void refusedNumberIsNotUsedForLong() {
			SimulatedFleet fleet = fleet();
			fleet.fault = Optional.of(DutyAnswer.FENCED);
			fleet.run(30);
			assertThat(fleet.releases).isAtLeast(2);
			fleet.fault = Optional.empty();
			fleet.run(30);
			checkReplaced(fleet);
		}

	}

}
