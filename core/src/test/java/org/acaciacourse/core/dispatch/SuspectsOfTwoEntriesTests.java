package org.acaciacourse.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.DispatchActions.Attempt;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Two entry VMs each have a request on the same endpoint, and one of the requests crashes
 * every endpoint that runs it. Each VM retries its own request in isolation and learns
 * about the other one through the control plane.
 */
class SuspectsOfTwoEntriesTests {

	private static final int STEP_MILLIS = 20;

	private static final int STEPS = 3_000;

	private static final int ANSWER_STEPS = 25;

	private static final long POISON = 666;

	private static final long HARMLESS = 1;

	private final Driver poisonEntry = new Driver("tiered", 3, 4);

	private final Driver otherEntry = new Driver("tiered", 3, 4);

	private final Map<Long, Integer> attemptAges = new HashMap<>();

	private final Set<Long> endedAtPoisonEntry = new HashSet<>();

	private final Set<Long> endedAtOtherEntry = new HashSet<>();

	private final List<CrashReport> reportsInTransit = new ArrayList<>();

	private final Set<List<Number>> publishedReports = new HashSet<>();

	private int crashes;

	private long harmless;

	private void simulate(int delayMillis) {
		long poison = this.poisonEntry.arrive("broker", POISON, false);
		this.harmless = this.otherEntry.arrive("broker", HARMLESS, false);
		assertThat(this.otherEntry.lastAttempt().endpoint()).isEqualTo(this.poisonEntry.lastAttempt().endpoint());
		for (int step = 0; step < STEPS; step++) {
			crash(this.poisonEntry.lastAttemptOf(poison));
			completeOldAttempts();
			publish(this.poisonEntry, step + delayMillis / STEP_MILLIS);
			publish(this.otherEntry, step + delayMillis / STEP_MILLIS);
			deliver(step);
			this.poisonEntry.advance(STEP_MILLIS * 1_000_000L);
			this.otherEntry.advance(STEP_MILLIS * 1_000_000L);
		}
	}

	// The endpoint that runs the poison request crashes, with all its other requests.
	private void crash(Attempt attempt) {
		if (!this.endedAtPoisonEntry.add(attempt.id())) {
			return;
		}
		this.crashes++;
		this.poisonEntry.endAttempt(attempt, AttemptOutcome.CRASHED);
		List.copyOf(this.otherEntry.attempts)
			.stream()
			.filter((other) -> other.endpoint().equals(attempt.endpoint()) && this.endedAtOtherEntry.add(other.id()))
			.forEach((other) -> this.otherEntry.endAttempt(other, AttemptOutcome.CRASHED));
	}

	private void completeOldAttempts() {
		for (Attempt attempt : List.copyOf(this.otherEntry.attempts)) {
			boolean done = this.attemptAges.merge(attempt.id(), 1, Integer::sum) > ANSWER_STEPS;
			if (done && this.endedAtOtherEntry.add(attempt.id())) {
				this.otherEntry.endAttempt(attempt, AttemptOutcome.COMPLETE);
			}
		}
	}

	// The control plane distributes a report to all VMs, including the sender.
	private void publish(Driver from, int arrivesAt) {
		from.publishedSuspects.forEach((content, crashCount) -> {
			if (this.publishedReports.add(List.of(content, crashCount))) {
				this.reportsInTransit.add(new CrashReport(this.poisonEntry, content, crashCount, arrivesAt));
				this.reportsInTransit.add(new CrashReport(this.otherEntry, content, crashCount, arrivesAt));
			}
		});
	}

	private void deliver(int step) {
		for (CrashReport report : List.copyOf(this.reportsInTransit)) {
			if (report.arrivesAt() <= step) {
				this.reportsInTransit.remove(report);
				report.to().dispatcher.suspectReported(report.content(), report.crashes(), report.to().now);
			}
		}
	}

	private void assertOnlyPoisonIsRefused() {
		assertThat(this.poisonEntry.finished.values()).containsExactly(ResultCode.CRASHING_CONTENT);
		assertThat(this.crashes).isEqualTo(2);
		assertThat(this.otherEntry.finished).doesNotContainKey(this.harmless);
	}

	@Test
	void onlyPoisonIsRefusedWithFastReports() {
		simulate(600);
		assertOnlyPoisonIsRefused();
	}

	/*
	 * The control plane is slow because its VMs are busy. Both entry VMs retried their
	 * requests one second after the crash on the same endpoint. It crashed again, and the
	 * harmless request was refused as crashing content.
	 */
	@Test
	void onlyPoisonIsRefusedWithSlowReports() {
		simulate(1_500);
		assertOnlyPoisonIsRefused();
	}

	private record CrashReport(Driver to, long content, int crashes, int arrivesAt) {
	}

}
