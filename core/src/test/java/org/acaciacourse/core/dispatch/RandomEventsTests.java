package org.acaciacourse.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.acaciacourse.core.dispatch.DispatchActions.Attempt;

import static com.google.common.truth.Truth.assertThat;

/**
 * Sends random events to a dispatcher and checks its invariants after each.
 */
class RandomEventsTests {

	private static final AttemptOutcome[] OUTCOMES = { AttemptOutcome.COMPLETE, AttemptOutcome.COMPLETE,
			AttemptOutcome.COMPLETE, AttemptOutcome.NOT_SENT, AttemptOutcome.REFUSED, AttemptOutcome.LOST,
			AttemptOutcome.SILENT, AttemptOutcome.CRASHED, AttemptOutcome.REJECTED };

	// Engines fail in every way while callers connect and disconnect and the policy
	// changes. Each request gets one final answer, a request that may not be repeated
	// runs once, and no request is sent to the endpoint at which it has just failed.
	@Property(tries = 60, seed = "17")
	void eachRequestGetsOneAnswerAndRunsWhereItMay(@ForAll long seed) {
		EventSequence sequence = new EventSequence(seed);
		for (int i = 0; i < 600; i++) {
			sequence.step();
		}
		sequence.completeOpenRequests();
		assertThat(sequence.answered).isEqualTo(sequence.arrived);
		assertThat(sequence.driver.dispatcher.openRequestCount()).isEqualTo(0);
	}

	/** One sequence of random events and the expected state. */
	private static final class EventSequence {

		private final SplittableRandom random;

		private final Driver driver = new Driver("tiered", 5, 3);

		private final Map<Long, Attempt> openAttempts = new HashMap<>();

		private final Map<Long, String> lastFailedEndpoint = new HashMap<>();

		private final Set<Long> mayHaveRun = new HashSet<>();

		private final Set<Long> notRepeated = new HashSet<>();

		private final Set<Long> arrived = new HashSet<>();

		private final Set<Long> answered = new HashSet<>();

		private int observedAttempts;

		private EventSequence(long seed) {
			this.random = new SplittableRandom(seed);
		}

		private void step() {
			switch (this.random.nextInt(8)) {
				case 0, 1, 2 -> arrive();
				case 3, 4 -> endOne();
				case 5 -> this.driver.advance(this.random.nextInt(200) * 1_000_000L);
				case 6 -> tokens();
				default -> injectEvent();
			}
			observe();
		}

		private void arrive() {
			boolean nonRepeatable = this.random.nextInt(4) == 0;
			String requestClass = (this.random.nextBoolean()) ? "broker" : "night";
			long id = this.driver.arrive(requestClass, this.random.nextInt(40), nonRepeatable);
			this.arrived.add(id);
			if (nonRepeatable) {
				this.notRepeated.add(id);
			}
		}

		private Attempt pick() {
			List<Attempt> all = new ArrayList<>(this.openAttempts.values());
			return (all.isEmpty()) ? null : all.get(this.random.nextInt(all.size()));
		}

		private void endOne() {
			Attempt attempt = pick();
			if (attempt != null) {
				end(attempt, OUTCOMES[this.random.nextInt(OUTCOMES.length)]);
			}
		}

		private void end(Attempt attempt, AttemptOutcome outcome) {
			this.openAttempts.remove(attempt.id());
			boolean wanted = !this.driver.finished.containsKey(attempt.requestId());
			boolean notRun = outcome == AttemptOutcome.NOT_SENT || outcome == AttemptOutcome.REFUSED;
			if (!notRun) {
				this.mayHaveRun.add(attempt.requestId());
			}
			this.lastFailedEndpoint.put(attempt.requestId(),
					(outcome == AttemptOutcome.CANCELLED) ? "" : attempt.endpoint());
			if (outcome == AttemptOutcome.COMPLETE && wanted) {
				assertThat(this.answered.add(attempt.requestId())).isTrue();
			}
			this.driver.endAttempt(attempt, outcome);
			observe();
		}

		private void tokens() {
			Attempt attempt = pick();
			if (attempt != null) {
				this.driver.dispatcher.tokensReceived(attempt.id(), 1 + this.random.nextInt(9), this.driver.now);
			}
		}

		private void injectEvent() {
			String endpoint = "llm-" + this.random.nextInt(5);
			switch (this.random.nextInt(4)) {
				case 0 -> this.driver.dispatcher.endpointStatus(endpoint,
						EndpointStatus.values()[this.random.nextInt(3)], this.driver.now);
				case 1 -> this.driver.dispatcher.loadReport(endpoint,
						new LoadReport(this.driver.now, this.random.nextInt(4), 0, 1_000_000L), this.driver.now);
				case 2 -> this.driver.dispatcher.configure(
						Driver.manifest((this.random.nextBoolean()) ? "tiered" : "fifo", 5, 3, Map.of()),
						this.driver.now);
				default -> this.driver.dispatcher.callerGone(this.random.nextInt(200), this.driver.now);
			}
		}

		/**
		 * Checks the actions requested since the last call and updates the expected
		 * state.
		 */
		private void observe() {
			while (this.observedAttempts < this.driver.attempts.size()) {
				Attempt attempt = this.driver.attempts.get(this.observedAttempts++);
				long id = attempt.requestId();
				assertThat(this.answered).doesNotContain(id);
				assertThat(this.notRepeated.contains(id) && this.mayHaveRun.contains(id)).isFalse();
				assertThat(attempt.endpoint()).isNotEqualTo(this.lastFailedEndpoint.get(id));
				this.openAttempts.put(attempt.id(), attempt);
			}
			this.answered.addAll(this.driver.finished.keySet());
			for (long id : List.copyOf(this.driver.cancelled)) {
				this.driver.cancelled.remove(id);
				if (this.openAttempts.containsKey(id)) {
					end(this.openAttempts.get(id), AttemptOutcome.CANCELLED);
				}
			}
		}

		/** Lets all endpoints answer until no request is open. */
		private void completeOpenRequests() {
			for (int i = 0; i < 5; i++) {
				this.driver.dispatcher.endpointStatus("llm-" + i, EndpointStatus.LIVE, this.driver.now);
			}
			for (int i = 0; i < 3_000 && this.driver.dispatcher.openRequestCount() > 0; i++) {
				List.copyOf(this.openAttempts.values()).forEach((attempt) -> {
					if (this.openAttempts.containsKey(attempt.id())) {
						end(attempt, AttemptOutcome.COMPLETE);
					}
				});
				this.driver.advance(Driver.SECOND / 10);
				observe();
			}
		}

	}

}
