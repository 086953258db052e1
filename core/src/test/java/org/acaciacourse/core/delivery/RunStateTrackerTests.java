package org.acaciacourse.core.delivery;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.acaciacourse.core.code.RunState;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link RunStateTracker}.
 */
class RunStateTrackerTests {

	@Provide
	Arbitrary<List<Step>> interleavings() {
		Arbitrary<Integer> attempts = Arbitraries.integers().between(1, 3);
		Arbitrary<Event> events = Arbitraries.of(Event.class);
		return Combinators.combine(attempts, events).as(Step::new).list().ofMaxSize(25);
	}

	// A client that receives "not run" repeats the request, which would then run twice if
	// an attempt had run. Sends, resets, timeouts, cancellations, refusals and responses
	// of up to three attempts occur in any order; the fake endpoint runs each attempt
	// whose bytes arrive unless it refused it.
	@Property(tries = 20_000, seed = "4711")
	void neverReportsNotRunForARequestThatRan(@ForAll("interleavings") List<Step> steps) {
		RunStateTracker tracker = new RunStateTracker();
		FakeEndpoint endpoint = new FakeEndpoint();
		for (Step step : steps) {
			endpoint.step(step, tracker);
			if (!endpoint.ran.isEmpty()) {
				assertThat(tracker.state()).isNotEqualTo(RunState.NOT_RUN);
			}
		}
	}

	/** The events that can happen to an attempt, in any order and number. */
	enum Event {

		SEND, ARRIVE, LOSE, REFUSE, ANSWER, RESET, TIMEOUT, CANCEL, LATE_REFUSAL_OF_OTHER

	}

	record Step(int attempt, Event event) {
	}

	/** Records which attempts it refused and runs all others that arrive. */
	private static final class FakeEndpoint {

		private final Set<Integer> sent = new HashSet<>();

		private final Set<Integer> refused = new HashSet<>();

		private final Set<Integer> ran = new HashSet<>();

		private final List<Integer> inTransit = new ArrayList<>();

		void step(Step step, RunStateTracker tracker) {
			int attempt = step.attempt();
			switch (step.event()) {
				case SEND -> send(attempt, tracker);
				case ARRIVE -> arrive(attempt);
				case LOSE -> this.inTransit.remove((Integer) attempt);
				case REFUSE -> refuse(attempt, tracker);
				case ANSWER -> answer(attempt, tracker);
				case LATE_REFUSAL_OF_OTHER -> tracker.refused(attempt, attempt + 1000L);
				default -> {
					// A reset, timeout or cancellation does not show what the endpoint
					// did.
				}
			}
		}

		private void send(int attempt, RunStateTracker tracker) {
			tracker.attemptStarted(attempt);
			if (this.sent.add(attempt)) {
				tracker.beforeSend(attempt);
				this.inTransit.add(attempt);
			}
		}

		private void arrive(int attempt) {
			if (this.inTransit.remove((Integer) attempt) && !this.refused.contains(attempt)) {
				this.ran.add(attempt);
			}
		}

		private void refuse(int attempt, RunStateTracker tracker) {
			if (this.inTransit.remove((Integer) attempt)) {
				this.refused.add(attempt);
				tracker.refused(attempt, attempt);
			}
		}

		private void answer(int attempt, RunStateTracker tracker) {
			if (this.ran.contains(attempt)) {
				tracker.ran(attempt);
			}
		}

	}

	@Nested
	class State {

		@Test
		void isNotRunWhileNothingWasWrittenToAConnection() {
			RunStateTracker tracker = new RunStateTracker();
			tracker.attemptStarted(1);
			assertThat(tracker.state()).isEqualTo(RunState.NOT_RUN);
			assertThat(tracker.mayRetry()).isTrue();
		}

		// A late refusal of another attempt arrives. Applying it to this one would report
		// "not run" to the client for a request that runs.
		@Test
		void ignoresARefusalOfAnotherAttempt() {
			RunStateTracker tracker = new RunStateTracker();
			tracker.attemptStarted(1);
			tracker.beforeSend(1);
			assertThat(tracker.refused(1, 2)).isFalse();
			assertThat(tracker.state()).isEqualTo(RunState.UNKNOWN);
		}

		@Test
		void isThatOfTheAttemptMostLikelyToHaveRun() {
			RunStateTracker tracker = new RunStateTracker();
			tracker.attemptStarted(1);
			tracker.beforeSend(1);
			tracker.refused(1, 1);
			assertThat(tracker.state()).isEqualTo(RunState.NOT_RUN);
			tracker.attemptStarted(2);
			tracker.beforeSend(2);
			assertThat(tracker.state()).isEqualTo(RunState.UNKNOWN);
			tracker.ran(2);
			assertThat(tracker.state()).isEqualTo(RunState.RUN);
		}

	}

}
