package org.acaciacourse.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ReturnScheduleTests {

	private static final long MILLI = 1_000_000L;

	private static final long SECOND = 1_000 * MILLI;

	private final ReturnSchedule schedule = new ReturnSchedule();

	private long book(int rank, long frontMillis, long costMillis, double fraction, long now) {
		return this.schedule.book(rank, frontMillis * MILLI, costMillis * MILLI, fraction, now).toMillis();
	}

	/* A caller that comes back before the queue has drained is refused again. */
	@Test
	void nobodyReturnsBeforeTheWorkInFrontHasDrained() {
		assertThat(book(0, 2_000, 50, 0, 0)).isEqualTo(2_000);
	}

	/* Returns that all come together make a second peak. */
	@Test
	void asManyReturnPerSecondAsThePoolServes() {
		Random random = new Random(1);
		List<Long> returns = new ArrayList<>();
		for (int i = 0; i < 100; i++) {
			returns.add(book(0, 1_000, 200, random.nextDouble(), 0));
		}
		for (long from = 1_000; from < 21_000; from += 1_000) {
			long begin = from;
			long count = returns.stream().filter((at) -> at >= begin && at < begin + 1_000).count();
			assertThat(count).isAtMost(7);
			assertThat(count).isAtLeast(3);
		}
	}

	@Test
	void moreUrgentOnesReturnFirst() {
		for (int i = 0; i < 10; i++) {
			book(2, 1_000, 200, 0, 0);
		}
		assertThat(book(0, 1_000, 200, 0, 0)).isEqualTo(1_000);
		assertThat(book(2, 1_000, 200, 0, 0)).isEqualTo(3_200);
	}

	/* Callers that never return must not delay others for good. */
	@Test
	void bookedTimePasses() {
		for (int i = 0; i < 10; i++) {
			book(0, 0, 200, 0, 0);
		}
		assertThat(book(0, 1_000, 200, 0, 2 * SECOND)).isEqualTo(1_000);
	}

	/* Guards against clients that retry in a loop. */
	@Test
	void shortestDelayIsBounded() {
		assertThat(book(0, 0, 0, 0, 0)).isEqualTo(ReturnSchedule.MIN_NANOS / MILLI);
	}

}
