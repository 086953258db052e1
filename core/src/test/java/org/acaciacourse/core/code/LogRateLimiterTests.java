package org.acaciacourse.core.code;

import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link LogRateLimiter}.
 */
class LogRateLimiterTests {

	private static final long SECOND = 1_000_000_000L;

	private final LogRateLimiter budget = new LogRateLimiter(2, 0);

	@Test
	void firstLinesOfASecondAreWritten() {
		assertThat(this.budget.tryAcquire(1)).isEqualTo(OptionalLong.of(0));
		assertThat(this.budget.tryAcquire(2)).isEqualTo(OptionalLong.of(0));
		assertThat(this.budget.tryAcquire(3)).isEqualTo(OptionalLong.empty());
	}

	// Nearly all responses of a burst are late. The first line after it reports how many
	// lines were suppressed, once.
	@Test
	void lineAfterABurstReportsHowManyWereSuppressed() {
		for (int i = 0; i < 10; i++) {
			this.budget.tryAcquire(i);
		}
		assertThat(this.budget.tryAcquire(SECOND)).isEqualTo(OptionalLong.of(8));
		assertThat(this.budget.tryAcquire(SECOND + 1)).isEqualTo(OptionalLong.of(0));
	}

}
