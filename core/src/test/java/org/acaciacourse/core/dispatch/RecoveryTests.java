package org.acaciacourse.core.dispatch;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.DispatchActions.Attempt;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of what a dispatcher does after a fault has passed.
 */
class RecoveryTests {

	private static void answer(Driver driver, long request, long firstTokenAfter) {
		Attempt attempt = driver.lastAttemptOf(request);
		driver.advance(firstTokenAfter);
		driver.dispatcher.tokens(attempt.id(), 10, driver.now);
		driver.endAttempt(attempt, AttemptOutcome.COMPLETE);
	}

	@Nested
	class AfterSilence {

		// All connections went silent once, and every first token took longer than the
		// target. Afterwards the engines are idle and fast, but each question was refused
		// for what had been learnt, so that nothing better could be learnt: the callers
		// got 202 for good.
		@Test
		void idleEndpointIsUsedDespiteSlowEstimates() {
			Driver driver = new Driver("tiered", 3, 8);
			for (int i = 0; i < 30; i++) {
				answer(driver, driver.arrive("broker"), 5 * Driver.SECOND);
			}
			long request = driver.arrive("broker");
			assertThat(driver.finished).doesNotContainKey(request);
			assertThat(driver.attemptCount(request)).isEqualTo(1);
		}

	}

	@Nested
	class Late {

		// An engine froze under a plain request. When that is noticed its target has
		// passed, but not its deadline. The caller was refused with "unknown" beside idle
		// engines; it gets the answer late instead.
		@Test
		void requestThatMayHaveRunIsStillAnswered() {
			Driver driver = new Driver("tiered", 3, 1);
			for (int i = 0; i < 30; i++) {
				answer(driver, driver.arrive("broker"), Driver.SECOND / 10);
			}
			long request = driver.arrive("broker");
			driver.arrive("broker");
			driver.arrive("broker");
			driver.advance(3 * Driver.SECOND);
			driver.endAttempt(driver.lastAttemptOf(request), AttemptOutcome.SILENT);
			driver.advance(Driver.SECOND);
			assertThat(driver.finished).doesNotContainKey(request);
		}

	}

	@Nested
	class OneEndpoint {

		// The only endpoint of a set refused a request once. A retry goes to another
		// endpoint only, and there is none: the caller waited until its deadline beside
		// an idle endpoint.
		@Test
		void refusedRequestIsRetriedOnSameEndpoint() {
			Driver driver = new Driver("tiered", 1, 8);
			long request = driver.arrive("broker");
			driver.endAttempt(driver.lastAttemptOf(request), AttemptOutcome.REFUSED);
			driver.advance(Driver.SECOND);
			assertThat(driver.attemptCount(request)).isEqualTo(2);
		}

		// The same, but the connection was lost and the request may have run. The caller
		// gets its answer at once and not at its deadline.
		@Test
		void lostRequestFailsImmediately() {
			Driver driver = new Driver("tiered", 1, 8);
			long request = driver.arrive("broker");
			driver.endAttempt(driver.lastAttemptOf(request), AttemptOutcome.LOST);
			assertThat(driver.finished).containsEntry(request, ResultCode.RETRIES_EXHAUSTED);
		}

	}

}
