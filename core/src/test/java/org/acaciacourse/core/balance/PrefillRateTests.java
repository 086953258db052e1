package org.acaciacourse.core.balance;

import com.google.common.collect.Range;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PrefillRateTests {

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

	/* Engines of another kind prefill at a multiple of the default rate. */
	@Test
	void rateFollowsObservedWaits() {
		observe(200, 45_000, 500);
		assertThat(millis(90_000)).isIn(Range.closed(990L, 1_010L));
	}

	/*
	 * A burst fills the batches, and the engines prefill 30 tokens per millisecond
	 * instead of 45. An entry VM observes a few waits per second; until its estimate is
	 * right, it sends prompts as on time that arrive half a second late.
	 */
	@Test
	void tenWaitsShowMostOfAChange() {
		observe(10, 45_000, 1_500);
		assertThat(millis(30_000)).isIn(Range.closed(900L, 1_000L));
	}

	/*
	 * An idle engine answers after one batch step, which does not depend on its prefill
	 * rate.
	 */
	@Test
	void shortWaitsAreIgnored() {
		observe(200, 2_000, 400);
		assertThat(millis(45_000)).isEqualTo(1_000);
	}

	/*
	 * One request waited ten seconds for an engine that was stalled. The next ones must
	 * not all be considered late.
	 */
	@Test
	void singleWaitMovesTheEstimateLittle() {
		observe(1, 20_000, 10_000);
		assertThat(millis(45_000)).isLessThan(1_050L);
	}

}
