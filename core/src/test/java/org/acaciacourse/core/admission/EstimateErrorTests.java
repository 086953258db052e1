package org.acaciacourse.core.admission;

import java.util.Random;

import com.google.common.collect.Range;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EstimateErrorTests {

	private static final long SECOND = 1_000_000_000L;

	private final EstimateError error = new EstimateError();

	private long now;

	private void observe(int times, double ratio) {
		for (int i = 0; i < times; i++) {
			this.now += SECOND / 10;
			this.error.observe(SECOND, (long) (ratio * SECOND), this.now);
		}
	}

	/* Guards against refusals by an error that nobody has observed. */
	@Test
	void nothingIsCorrectedWithoutObservations() {
		assertThat(this.error.correction(0)).isEqualTo(1);
		assertThat(this.error.margin(0)).isWithin(0.01).of(1.25);
	}

	@Test
	void meanErrorIsCorrected() {
		observe(40, 1.6);
		assertThat(this.error.correction(this.now)).isWithin(0.05).of(1.6);
	}

	/* A spread of errors must widen the margin, or half of the requests run too long. */
	@Test
	void marginCoversNearlyAllErrorsOfASpread() {
		Random random = new Random(1);
		int beyond = 0;
		for (int i = 0; i < 4_000; i++) {
			this.now += SECOND / 10;
			double ratio = Math.exp(0.15 * random.nextGaussian());
			beyond += (ratio > this.error.correction(this.now) * this.error.margin(this.now)) ? 1 : 0;
			this.error.observe(SECOND, (long) (ratio * SECOND), this.now);
		}
		assertThat(beyond).isLessThan(4_000 * 6 / 100);
	}

	/* A stalled endpoint must not make all estimates useless. */
	@Test
	void correctionAndMarginAreBounded() {
		observe(100, 1_000);
		assertThat(this.error.correction(this.now)).isAtMost(EstimateError.MAX_CORRECTION + 1e-9);
		observe(1, 0.001);
		assertThat(this.error.margin(this.now)).isAtMost(EstimateError.MAX_MARGIN);
		observe(200, 1);
		assertThat(this.error.margin(this.now)).isAtLeast(EstimateError.MIN_MARGIN);
	}

	/* An estimate that was too high refuses everything, and then nothing is observed. */
	@Test
	void errorIsForgottenAfterTenSecondsWithoutObservations() {
		observe(40, 2);
		assertThat(this.error.correction(this.now + 5 * SECOND)).isIn(Range.open(1.2, 1.6));
		assertThat(this.error.correction(this.now + 10 * SECOND)).isEqualTo(1);
		assertThat(this.error.margin(this.now + 10 * SECOND)).isWithin(0.01).of(1.25);
	}

	/*
	 * Callers that leave at their deadline would otherwise hide that estimates are low.
	 */
	@Test
	void requestThatNobodyWaitedForRaisesTheCorrection() {
		for (int i = 0; i < 40; i++) {
			this.now += SECOND / 10;
			this.error.observeAtLeast(SECOND, 2 * SECOND, this.now);
		}
		assertThat(this.error.correction(this.now)).isGreaterThan(1.8);
	}

	/* A caller that leaves early says nothing of the endpoint. */
	@Test
	void requestThatEndedBeforeItsEstimateIsIgnored() {
		this.error.observeAtLeast(SECOND, SECOND / 2, 0);
		assertThat(this.error.correction(0)).isEqualTo(1);
	}

	/* A batch step takes some milliseconds, whatever the estimate was. */
	@Test
	void shortTimesAreIgnored() {
		this.error.observe(EstimateError.MIN_NANOS / 10, EstimateError.MIN_NANOS / 2, 0);
		assertThat(this.error.correction(0)).isEqualTo(1);
	}

}
