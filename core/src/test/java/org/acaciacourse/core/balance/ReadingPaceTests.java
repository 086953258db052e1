package org.acaciacourse.core.balance;

import com.google.common.collect.Range;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ReadingPaceTests {

	private static final long MILLI = 1_000_000L;

	private final PrefillRate rate = new PrefillRate();

	private long millis(long work) {
		return this.rate.estimateNanos(work) / MILLI;
	}

	private void observe(int times, long workAhead, long elapsedMillis) {
		for (int i = 0; i < times; i++) {
			this.rate.observe(workAhead, elapsedMillis * MILLI);
		}
	}

	@Test
	void defaultRateHoldsWithoutObservations() {
		assertThat(millis(45_000)).isEqualTo(1_000);
	}

	/* Engines of another kind read three times as fast as usual. */
	@Test
	void rateFollowsObservedWaits() {
		observe(200, 45_000, 500);
		assertThat(millis(90_000)).isIn(Range.closed(990L, 1_010L));
	}

	/*
	 * A burst fills the batches, and the engines read 30 tokens in a millisecond in place
	 * of 45. An entry sees a few of the waits in a second; until it knows, it sends
	 * prompts as if they could be in time which come half a second late.
	 */
	@Test
	void tenWaitsShowMostOfAChange() {
		observe(10, 45_000, 1_500);
		assertThat(millis(30_000)).isIn(Range.closed(900L, 1_000L));
	}

	/*
	 * An idle engine answers after a step of its batch, which tells nothing of reading.
	 */
	@Test
	void shortWaitsAreIgnored() {
		observe(200, 2_000, 400);
		assertThat(millis(45_000)).isEqualTo(1_000);
	}

	/*
	 * One request waited for ten seconds behind an engine that stood still. The next ones
	 * must not all be taken for late.
	 */
	@Test
	void singleWaitMovesTheEstimateLittle() {
		observe(1, 20_000, 10_000);
		assertThat(millis(45_000)).isLessThan(1_050L);
	}

}
