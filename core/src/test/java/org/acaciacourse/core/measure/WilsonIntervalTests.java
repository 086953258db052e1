package org.acaciacourse.core.measure;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link WilsonInterval}.
 */
class WilsonIntervalTests {

	@Test
	void agreesWithReferenceValues() {
		WilsonInterval interval = WilsonInterval.of(81, 263);
		assertThat(interval.low()).isWithin(1e-4).of(0.2553);
		assertThat(interval.high()).isWithin(1e-4).of(0.3662);
	}

	@Test
	void isTheWholeRangeWithoutSamples() {
		assertThat(WilsonInterval.of(0, 0)).isEqualTo(new WilsonInterval(0, 1));
	}

}
