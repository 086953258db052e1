package org.acaciacourse.core.clock;

import java.util.concurrent.TimeUnit;

import com.google.common.collect.Range;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class MedianClockTests {

	private static final long EPOCH = 1_700_000_000_000L;

	private static final long STEP = 2_000;

	private final MedianClock clock = new MedianClock();

	private long monotonicMillis = 5_000;

	private long ownError;

	private long now() {
		return TimeUnit.MILLISECONDS.toNanos(this.monotonicMillis);
	}

	private long trueMillis() {
		return EPOCH + this.monotonicMillis;
	}

	private void tell(String vm, long errorMillis) {
		this.clock.record(vm, trueMillis() + errorMillis, now());
	}

	private long error() {
		return this.clock.estimate(trueMillis() + this.ownError, now()) - trueMillis();
	}

	@Test
	void singleClockIsTrusted() {
		this.ownError = 30;
		assertThat(error()).isEqualTo(30);
	}

	@Test
	void silentVmHasNoPart() {
		for (int i = 0; i < 5; i++) {
			tell("vm-" + i, STEP);
		}
		this.monotonicMillis += 5_001;
		assertThat(error()).isEqualTo(0);
	}

	@Nested
	class Steps {

		// Guards against windows that are cut at a wrong time as this VM's clock was set.
		@ParameterizedTest
		@ValueSource(longs = { STEP, -STEP })
		void ownClockThatIsSetChangesNothing(long step) {
			tell("a", 10);
			assertThat(error()).isAtMost(10);
			MedianClockTests.this.ownError = step;
			MedianClockTests.this.monotonicMillis += 100;
			tell("a", 10);
			assertThat(error()).isIn(Range.closed(0L, 10L));
		}

		@Test
		void minorityOfOtherClocksChangesNothing() {
			for (int i = 0; i < 7; i++) {
				tell("right-" + i, i);
			}
			for (int i = 0; i < 4; i++) {
				tell("wrong-" + i, STEP);
			}
			assertThat(error()).isIn(Range.closed(0L, 6L));
		}

		// Guards against a control VM that starts while its clock is off and has heard of
		// no other one yet.
		@Test
		void firstEstimateIsCorrectedOnceOthersAreHeard() {
			MedianClockTests.this.ownError = STEP;
			assertThat(error()).isEqualTo(STEP);
			for (int i = 0; i < 3; i++) {
				tell("vm-" + i, 0);
			}
			assertThat(error()).isEqualTo(0);
		}

		// Guards against a clock that stays behind after a suspension, during which the
		// monotonic clock does not run.
		@Test
		void suspendedVmCatchesUp() {
			tell("a", 0);
			tell("b", 0);
			error();
			long late = 6_000;
			MedianClockTests.this.ownError = late;
			MedianClockTests.this.monotonicMillis += 100;
			tell("a", late);
			tell("b", late);
			assertThat(error()).isEqualTo(late);
		}

	}

}
