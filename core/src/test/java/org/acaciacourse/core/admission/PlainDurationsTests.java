package org.acaciacourse.core.admission;

import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PlainDurationsTests {

	private static final long MILLI = 1_000_000L;

	private final PlainDurations durations = new PlainDurations();

	@Test
	void unknownWithoutObservations() {
		assertThat(this.durations.estimate(0)).isEqualTo(OptionalLong.empty());
	}

	@Test
	void freeSlotTakesOneRound() {
		assertThat(PlainDurations.rounds(5, 6)).isEqualTo(1);
		assertThat(PlainDurations.rounds(11, 6)).isEqualTo(2);
	}

	/* Time spent waiting would otherwise count twice: as duration and as waiting. */
	@Test
	void waitingIsNotPartOfTheDuration() {
		for (int i = 0; i < 50; i++) {
			this.durations.observe(2, 140 * MILLI, 0);
		}
		assertThat(this.durations.estimate(0).orElseThrow()).isEqualTo(70 * MILLI);
	}

	/* After a pause nothing may be refused for what was long ago. */
	@Test
	void unknownAfterTenSecondsWithoutObservations() {
		this.durations.observe(1, 900 * MILLI, 0);
		assertThat(this.durations.estimate(Freshness.VALIDITY_NANOS)).isEqualTo(OptionalLong.empty());
	}

}
