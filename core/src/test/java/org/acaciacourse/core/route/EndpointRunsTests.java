package org.acaciacourse.core.route;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests of {@link EndpointRuns} and {@link EndpointRun}. */
class EndpointRunsTests {

	private final EndpointRuns runs = new EndpointRuns();

	private static Fleet listed(OptionalLong born) {
		return Fleet.of(List.of(new FleetEndpoint("a", "pool", "10.0.0.1:80", "dc", 4, false, Optional.empty(), born)));
	}

	private EndpointRuns.Update update(OptionalLong born, long now) {
		return this.runs.update(listed(born), now);
	}

	private static OptionalLong bornIn(EndpointRuns.Update update) {
		return update.fleet().endpoints().get(0).born();
	}

	@Nested
	class Lists {

		@Test
		void laterStartEndsTheRunBefore() {
			assertThat(update(OptionalLong.of(5), 0).started()).isEmpty();
			assertThat(update(OptionalLong.of(5), 1).started()).isEmpty();
			assertThat(update(OptionalLong.of(9), 2).started())
				.containsExactly(new EndpointRun("a", OptionalLong.of(9)));
			assertThat(update(OptionalLong.of(9), 3).started()).isEmpty();
		}

		/*
		 * A control VM that lags behind sends the list of before the start. What is kept
		 * of the new run must not end then, and not end again with the next list.
		 */
		@Test
		void outdatedListDoesNotBringTheEarlierRunBack() {
			update(OptionalLong.of(5), 0);
			update(OptionalLong.of(9), 1);
			EndpointRuns.Update outdated = update(OptionalLong.of(5), 2);
			assertThat(outdated.started()).isEmpty();
			assertThat(bornIn(outdated)).isEqualTo(OptionalLong.of(9));
			assertThat(bornIn(update(OptionalLong.empty(), 3))).isEqualTo(OptionalLong.of(9));
			assertThat(update(OptionalLong.of(9), 4).started()).isEmpty();
		}

		@Test
		void endpointThatIsMissingForAMomentHasTheSameRun() {
			update(OptionalLong.of(9), 0);
			EndpointRunsTests.this.runs.update(Fleet.of(List.of()), 1);
			EndpointRunsTests.this.runs.update(Fleet.of(List.of()), EndpointRuns.ABSENCE_NANOS);
			assertThat(bornIn(update(OptionalLong.of(5), EndpointRuns.ABSENCE_NANOS))).isEqualTo(OptionalLong.of(9));
		}

		@Test
		void endpointThatIsGoneIsForgotten() {
			update(OptionalLong.of(9), 0);
			EndpointRunsTests.this.runs.update(Fleet.of(List.of()), 1);
			EndpointRunsTests.this.runs.update(Fleet.of(List.of()), EndpointRuns.ABSENCE_NANOS + 2);
			assertThat(bornIn(update(OptionalLong.of(5), EndpointRuns.ABSENCE_NANOS + 3)))
				.isEqualTo(OptionalLong.of(5));
		}

		@Test
		void listWithoutStartsIsLeftAsItIs() {
			EndpointRuns.Update first = update(OptionalLong.empty(), 0);
			assertThat(first.fleet()).isEqualTo(listed(OptionalLong.empty()));
			assertThat(update(OptionalLong.empty(), 1).started()).isEmpty();
		}

		/* The first list that states a start does not tell of a new one. */
		@Test
		void startThatIsStatedForTheFirstTimeEndsNothing() {
			update(OptionalLong.empty(), 0);
			EndpointRuns.Update stated = update(OptionalLong.of(9), 1);
			assertThat(stated.started()).isEmpty();
			assertThat(bornIn(stated)).isEqualTo(OptionalLong.of(9));
		}

	}

	@Nested
	class Runs {

		@Test
		void keyIsTheIdAloneWithoutAStart() {
			assertThat(new EndpointRun("a", OptionalLong.empty()).key()).isEqualTo("a");
			assertThat(new EndpointRun("a", OptionalLong.of(1)).key())
				.isNotEqualTo(new EndpointRun("a", OptionalLong.of(2)).key());
		}

		@Test
		void startThatCannotBeRightIsMissing() {
			assertThat(EndpointRun.bornAt(-1, 1_000)).isEqualTo(OptionalLong.empty());
			assertThat(EndpointRun.bornAt(61_000, 1_000)).isEqualTo(OptionalLong.of(61_000));
			assertThat(EndpointRun.bornAt(61_001, 1_000)).isEqualTo(OptionalLong.empty());
		}

	}

}
