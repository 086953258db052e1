package org.acaciacourse.core.balance;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class StallDetectorTests {

	private static final long MILLI = 1_000_000L;

	private final StallDetector detector = new StallDetector(0, 0);

	private void tickUntil(long millis) {
		for (long at = 100; at <= millis; at += 100) {
			assertThat(this.detector.tick(at * MILLI, at)).isEmpty();
		}
	}

	@Test
	void loopThatRunsIsNotCatchingUp() {
		assertThat(this.detector.isCatchingUp(50 * MILLI, 50)).isFalse();
		tickUntil(1_000);
		assertThat(this.detector.isCatchingUp(1_350 * MILLI, 1_350)).isFalse();
	}

	// A loop that runs again reads requests before its first tick.
	@Test
	void stallIsDetectedBeforeTheNextTick() {
		tickUntil(1_000);
		assertThat(this.detector.isCatchingUp(3_000 * MILLI, 3_000)).isTrue();
	}

	// Connections that were opened during a stall are read after the first tick.
	@Test
	void loopCatchesUpForAFewTicks() {
		tickUntil(1_000);
		assertThat(this.detector.tick(3_000 * MILLI, 3_000)).hasValue(1_900);
		assertThat(this.detector.tick(3_100 * MILLI, 3_100)).isEmpty();
		assertThat(this.detector.tick(3_200 * MILLI, 3_200)).isEmpty();
		assertThat(this.detector.isCatchingUp(3_250 * MILLI, 3_250)).isTrue();
		assertThat(this.detector.tick(3_300 * MILLI, 3_300)).isEmpty();
		assertThat(this.detector.isCatchingUp(3_350 * MILLI, 3_350)).isFalse();
	}

	// Requests that arrive before the first configuration are held for it.
	@Test
	void requestsThatWereHeldOrReadLateMayBeOld() {
		tickUntil(1_000);
		assertThat(this.detector.mayBeOld(1_000 * MILLI, 1_050 * MILLI, 1_050)).isFalse();
		assertThat(this.detector.mayBeOld(700 * MILLI, 1_050 * MILLI, 1_050)).isTrue();
		assertThat(this.detector.mayBeOld(3_000 * MILLI, 3_000 * MILLI, 3_000)).isTrue();
	}

	// The steady clock does not count the time for which a VM is suspended.
	@Test
	void suspensionIsDetectedByTheTimeOfDay() {
		tickUntil(1_000);
		assertThat(this.detector.isCatchingUp(1_050 * MILLI, 5_000)).isTrue();
		assertThat(this.detector.tick(1_100 * MILLI, 5_050)).isPresent();
	}

	@Test
	void timeOfDayThatGoesBackIsNoStall() {
		tickUntil(1_000);
		assertThat(this.detector.tick(1_100 * MILLI, -9_000)).isEmpty();
		assertThat(this.detector.isCatchingUp(1_150 * MILLI, -8_950)).isFalse();
	}

}
