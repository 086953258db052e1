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
 * Two entry VMs have a request each on one endpoint, and one of the two crashes whatever
 * runs it. Each VM tries its own request apart, and hears of the other one by way of
 * control.
 */
class SuspectsOfTwoEntriesTests {

	private static final int STEP_MILLIS = 20;

	private static final int STEPS = 3_000;

	private static final int ANSWER_STEPS = 25;

	private static final long POISON = 666;

	private static final long INNOCENT = 1;

	private final Driver poisoned = new Driver("tiered", 3, 4);

	private final Driver other = new Driver("tiered", 3, 4);

	private final Map<Long, Integer> age = new HashMap<>();

	private final Set<Long> endedHere = new HashSet<>();

	private final Set<Long> endedThere = new HashSet<>();

	private final List<News> onTheWay = new ArrayList<>();

	private final Set<List<Number>> sent = new HashSet<>();

	private int crashes;

	private long innocent;

	private void play(int delayMillis) {
		long poison = this.poisoned.arrive("broker", POISON, false);
		this.innocent = this.other.arrive("broker", INNOCENT, false);
		assertThat(this.other.last().endpoint()).isEqualTo(this.poisoned.last().endpoint());
		for (int step = 0; step < STEPS; step++) {
			crash(this.poisoned.attemptOf(poison));
			answer();
			publish(this.poisoned, step + delayMillis / STEP_MILLIS);
			publish(this.other, step + delayMillis / STEP_MILLIS);
			deliver(step);
			this.poisoned.pass(STEP_MILLIS * 1_000_000L);
			this.other.pass(STEP_MILLIS * 1_000_000L);
		}
	}

	// The endpoint that runs the poison crashes, with all that it runs.
	private void crash(Attempt attempt) {
		if (!this.endedHere.add(attempt.id())) {
			return;
		}
		this.crashes++;
		this.poisoned.end(attempt, AttemptOutcome.CRASHED);
		List.copyOf(this.other.attempts)
			.stream()
			.filter((beside) -> beside.endpoint().equals(attempt.endpoint()) && this.endedThere.add(beside.id()))
			.forEach((beside) -> this.other.end(beside, AttemptOutcome.CRASHED));
	}

	private void answer() {
		for (Attempt attempt : List.copyOf(this.other.attempts)) {
			boolean done = this.age.merge(attempt.id(), 1, Integer::sum) > ANSWER_STEPS;
			if (done && this.endedThere.add(attempt.id())) {
				this.other.end(attempt, AttemptOutcome.COMPLETE);
			}
		}
	}

	// Control tells all VMs, the sender as well.
	private void publish(Driver from, int arrivesAt) {
		from.suspects.forEach((content, proven) -> {
			if (this.sent.add(List.of(content, proven))) {
				this.onTheWay.add(new News(this.poisoned, content, proven, arrivesAt));
				this.onTheWay.add(new News(this.other, content, proven, arrivesAt));
			}
		});
	}

	private void deliver(int step) {
		for (News news : List.copyOf(this.onTheWay)) {
			if (news.arrivesAt() <= step) {
				this.onTheWay.remove(news);
				news.to().dispatcher.suspect(news.content(), news.crashes(), news.to().now);
			}
		}
	}

	private void assertOnlyThePoisonIsRefused() {
		assertThat(this.poisoned.finished.values()).containsExactly(ResultCode.CRASHING_CONTENT);
		assertThat(this.crashes).isEqualTo(2);
		assertThat(this.other.finished).doesNotContainKey(this.innocent);
	}

	@Test
	void onlyThePoisonIsRefusedWhereNewsTakesLessThanASecond() {
		play(600);
		assertOnlyThePoisonIsRefused();
	}

	/*
	 * Control is slow, as its VMs are busy. Both entries try their requests a second
	 * after the crash, on the same endpoint. It crashes again, and the innocent caller is
	 * told that its content crashes endpoints.
	 */
	@Test
	void onlyThePoisonIsRefusedWhereNewsTakesLonger() {
		play(1_500);
		assertOnlyThePoisonIsRefused();
	}

	private record News(Driver to, long content, int crashes, int arrivesAt) {
	}

}
