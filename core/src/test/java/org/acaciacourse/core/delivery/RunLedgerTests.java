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
 * Tests for {@link RunLedger}.
 */
class RunLedgerTests {

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
		RunLedger ledger = new RunLedger();
		FakeEndpoint endpoint = new FakeEndpoint();
		for (Step step : steps) {
			endpoint.step(step, ledger);
			if (!endpoint.ran.isEmpty()) {
				assertThat(ledger.state()).isNotEqualTo(RunState.NOT_RUN);
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

		void step(Step step, RunLedger ledger) {
			int attempt = step.attempt();
			switch (step.event()) {
				case SEND -> send(attempt, ledger);
				case ARRIVE -> arrive(attempt);
				case LOSE -> this.inTransit.remove((Integer) attempt);
				case REFUSE -> refuse(attempt, ledger);
				case ANSWER -> answer(attempt, ledger);
				case LATE_REFUSAL_OF_OTHER -> ledger.refused(attempt, attempt + 1000L);
				default -> {
					// A reset, timeout or cancellation does not show what the endpoint
					// did.
				}
			}
		}

		private void send(int attempt, RunLedger ledger) {
			ledger.begin(attempt);
			if (this.sent.add(attempt)) {
				ledger.mayReach(attempt);
				this.inTransit.add(attempt);
			}
		}

		private void arrive(int attempt) {
			if (this.inTransit.remove((Integer) attempt) && !this.refused.contains(attempt)) {
				this.ran.add(attempt);
			}
		}

		private void refuse(int attempt, RunLedger ledger) {
			if (this.inTransit.remove((Integer) attempt)) {
				this.refused.add(attempt);
				ledger.refused(attempt, attempt);
			}
		}

		private void answer(int attempt, RunLedger ledger) {
			if (this.ran.contains(attempt)) {
				ledger.ran(attempt);
			}
		}

	}

	@Nested
	class State {

		@Test
		void isNotRunWhileNothingWasWrittenToAConnection() {
			RunLedger ledger = new RunLedger();
			ledger.begin(1);
			assertThat(ledger.state()).isEqualTo(RunState.NOT_RUN);
			assertThat(ledger.mayRunAgain()).isTrue();
		}

		// A late refusal of another attempt arrives. Applying it to this one would report
		// "not run" to the client for a request that runs.
		@Test
		void ignoresARefusalOfAnotherAttempt() {
			RunLedger ledger = new RunLedger();
			ledger.begin(1);
			ledger.mayReach(1);
			assertThat(ledger.refused(1, 2)).isFalse();
			assertThat(ledger.state()).isEqualTo(RunState.UNKNOWN);
		}

		@Test
		void isThatOfTheAttemptMostLikelyToHaveRun() {
			RunLedger ledger = new RunLedger();
			ledger.begin(1);
			ledger.mayReach(1);
			ledger.refused(1, 1);
			assertThat(ledger.state()).isEqualTo(RunState.NOT_RUN);
			ledger.begin(2);
			ledger.mayReach(2);
			assertThat(ledger.state()).isEqualTo(RunState.UNKNOWN);
			ledger.ran(2);
			assertThat(ledger.state()).isEqualTo(RunState.RUN);
		}

	}

}
