package org.acaciacourse.core.dispatch;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.DispatchActions.Attempt;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of a dispatcher's behaviour after a fault has ended.
 */
class RecoveryTests {

	private static void answer(Driver driver, long request, long firstTokenAfter) {
		Attempt attempt = driver.lastAttemptOf(request);
		driver.advance(firstTokenAfter);
		driver.dispatcher.tokensReceived(attempt.id(), 10, driver.now);
		driver.endAttempt(attempt, AttemptOutcome.COMPLETE);
	}

	@Nested
	class AfterSilence {

		// All connections stalled for a while, so that every first token took longer than
		// the target. Afterwards the engines were idle and fast, but each request was
		// refused because of the learned times, and refused requests yield no new
		// samples: callers got 202 permanently.
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

		// An engine froze while running a request. When this is detected, the target has
		// passed but not the deadline. The caller was refused with "unknown" although
		// other engines were idle; it must get a late answer instead.
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

		// The only endpoint of a set refused a request once. Retries went only to other
		// endpoints, of which there are none: the caller waited until its deadline while
		// the endpoint was idle.
		@Test
		void refusedRequestIsRetriedOnSameEndpoint() {
			Driver driver = new Driver("tiered", 1, 8);
			long request = driver.arrive("broker");
			driver.endAttempt(driver.lastAttemptOf(request), AttemptOutcome.REFUSED);
			driver.advance(Driver.SECOND);
			assertThat(driver.attemptCount(request)).isEqualTo(2);
		}

		// As above, but the connection was lost and the request may have run. The caller
		// must get its answer at once, not at its deadline.
		@Test
		void lostRequestFailsImmediately() {
			Driver driver = new Driver("tiered", 1, 8);
			long request = driver.arrive("broker");
			driver.endAttempt(driver.lastAttemptOf(request), AttemptOutcome.LOST);
			assertThat(driver.finished).containsEntry(request, ResultCode.RETRIES_EXHAUSTED);
		}

	}

}
