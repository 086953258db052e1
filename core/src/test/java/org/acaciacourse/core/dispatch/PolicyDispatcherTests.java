package org.acaciacourse.core.dispatch;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.DispatchActions.Attempt;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link PolicyDispatcher}.
 */
class PolicyDispatcherTests {

	@Nested
	class Order {

		@Test
		void tieredServesTheHigherTierFirst() {
			Driver driver = new Driver("tiered", 1, 1);
			long first = driver.arrive("broker");
			long night = driver.arrive("night");
			driver.arrive("broker");
			long broker = driver.arrive("broker");
			driver.endAttempt(driver.lastAttemptOf(first), AttemptOutcome.COMPLETE);
			driver.endAttempt(driver.lastAttempt(), AttemptOutcome.COMPLETE);
			assertThat(driver.attemptCount(broker)).isEqualTo(1);
			assertThat(driver.attemptCount(night)).isEqualTo(0);
		}

		@Test
		void fifoServesInOrderOfArrival() {
			Driver driver = new Driver("fifo", 1, 1);
			long first = driver.arrive("broker");
			long night = driver.arrive("night");
			driver.arrive("broker");
			driver.endAttempt(driver.lastAttemptOf(first), AttemptOutcome.COMPLETE);
			assertThat(driver.lastAttempt().requestId()).isEqualTo(night);
		}

		@Test
		void policyChangeReordersWaitingRequests() {
			Driver driver = new Driver("fifo", 1, 1);
			long first = driver.arrive("broker");
			driver.arrive("night");
			long broker = driver.arrive("broker");
			driver.dispatcher.configure(Driver.manifest("tiered", 1, 1, Map.of("overcommit", 0.0)), driver.now);
			driver.endAttempt(driver.lastAttemptOf(first), AttemptOutcome.COMPLETE);
			assertThat(driver.lastAttempt().requestId()).isEqualTo(broker);
			assertThat(driver.lastAttempt().policy()).isEqualTo("tiered");
		}

	}

	@Nested
	class Preemption {

		// A high-tier request arrives while low-tier work holds every slot. The low-tier
		// attempt is cancelled, the high-tier request is sent at once, and the low-tier
		// answer resumes at the token where it stopped, so that no token is lost.
		@Test
		void lowerTierIsPreemptedAndResumedLater() {
			Driver driver = new Driver("tiered", 1, 1);
			long night = driver.arrive("night");
			Attempt preempted = driver.lastAttemptOf(night);
			driver.dispatcher.tokensReceived(preempted.id(), 40, driver.now);
			long broker = driver.arrive("broker");
			assertThat(driver.cancelled).containsExactly(preempted.id());
			assertThat(driver.attemptCount(broker)).isEqualTo(1);
			driver.endAttempt(preempted, AttemptOutcome.CANCELLED);
			driver.endAttempt(driver.lastAttemptOf(broker), AttemptOutcome.COMPLETE);
			assertThat(driver.lastAttemptOf(night).resumeFrom()).isEqualTo(40);
		}

	}

	@Nested
	class Retry {

		@Test
		void usesAnotherEndpointAfterLostConnection() {
			Driver driver = new Driver("tiered", 3, 4);
			long id = driver.arrive("broker");
			String first = driver.lastAttemptOf(id).endpoint();
			driver.endAttempt(driver.lastAttemptOf(id), AttemptOutcome.LOST);
			driver.advance(Driver.SECOND / 2);
			assertThat(driver.attemptCount(id)).isEqualTo(2);
			assertThat(driver.lastAttemptOf(id).endpoint()).isNotEqualTo(first);
		}

		// An engine freezes, which is detected only after the target has passed. The
		// request is late through no fault of its caller: it is retried and not refused
		// for its target.
		@Test
		void usesAnotherEndpointAfterTargetHasPassed() {
			Driver driver = new Driver("tiered", 3, 4);
			long id = driver.arrive("broker");
			driver.advance(5 * Driver.SECOND);
			driver.endAttempt(driver.lastAttemptOf(id), AttemptOutcome.SILENT);
			driver.advance(Driver.SECOND / 2);
			assertThat(driver.attemptCount(id)).isEqualTo(2);
			assertThat(driver.finished).isEmpty();
		}

		// The connection breaks while a request that must not be repeated is in flight.
		// The endpoint may have run it, and a second attempt could execute it twice; the
		// caller gets an error instead.
		@Test
		void doesNotRepeatMarkedRequestThatMayHaveRun() {
			Driver driver = new Driver("tiered", 3, 4);
			long id = driver.arrive("broker", 5, true);
			driver.endAttempt(driver.lastAttemptOf(id), AttemptOutcome.LOST);
			driver.advance(Driver.SECOND);
			assertThat(driver.attemptCount(id)).isEqualTo(1);
			assertThat(driver.finished).containsEntry(id, ResultCode.ENDPOINT_LOST);
		}

		@Test
		void repeatsMarkedRequestThatWasNotSent() {
			Driver driver = new Driver("tiered", 3, 4);
			long id = driver.arrive("broker", 5, true);
			driver.endAttempt(driver.lastAttemptOf(id), AttemptOutcome.NOT_SENT);
			driver.advance(Driver.SECOND / 2);
			assertThat(driver.attemptCount(id)).isEqualTo(2);
		}

	}

	@Nested
	class Refusal {

		@Test
		void isImmediateAndHasRetryAfter() {
			Driver driver = new Driver("tiered", 1, 1);
			for (int i = 0; i < 20; i++) {
				long id = driver.arrive("night");
				driver.advance(4 * Driver.SECOND);
				driver.endAttempt(driver.lastAttemptOf(id), AttemptOutcome.COMPLETE);
				long broker = driver.arrive("broker");
				driver.dispatcher.tokensReceived(driver.lastAttemptOf(broker).id(), 1, driver.now);
				driver.advance(4 * Driver.SECOND);
				driver.endAttempt(driver.lastAttemptOf(broker), AttemptOutcome.COMPLETE);
			}
			long last = 0;
			for (int i = 0; i < 9; i++) {
				last = driver.arrive("broker");
			}
			assertThat(driver.finished).containsEntry(last, ResultCode.TARGET_UNREACHABLE);
			assertThat(driver.retryAfters.get(last)).isPresent();
		}

		/*
		 * There may be no operator present when requests are refused, so the log must
		 * show which input caused it: the speed of the endpoints, the queue, or lost
		 * endpoints.
		 */
		@Test
		void reportsEstimateBehindRefusal() {
			Driver driver = new Driver("tiered", 2, 1);
			driver.dispatcher.endpointStatus("llm-1", EndpointStatus.LEAVING, driver.now);
			long running = driver.arrive("broker");
			long waiting = driver.arrive("broker");
			driver.advance(3 * Driver.SECOND);
			assertThat(driver.finished).containsExactly(waiting, ResultCode.TARGET_UNREACHABLE);
			TargetEstimate estimate = driver.estimates.get(waiting);
			assertThat(estimate.waited()).isAtLeast(estimate.target());
			assertThat(estimate.running()).isEqualTo(1);
			assertThat(estimate.healthy()).isEqualTo(1);
			assertThat(estimate.slots()).isEqualTo(1);
			assertThat(driver.estimates).doesNotContainKey(running);
		}

		@Test
		void reportsReason() {
			Driver driver = new Driver("tiered", 1, 1);
			driver.dispatcher.endpointStatus("llm-0", EndpointStatus.LEAVING, driver.now);
			assertThat(driver.finished).containsEntry(driver.arrive("broker"), ResultCode.NO_ENDPOINT);
			driver.dispatcher.drain(driver.now);
			assertThat(driver.finished).containsEntry(driver.arrive("broker"), ResultCode.STOPPING);
		}

	}

	@Nested
	class Crash {

		// A poison request crashes its endpoint, with a harmless request beside it. Both
		// are retried in isolation. The poison request crashes a second endpoint; its
		// content is refused then and when it is sent again. The harmless request is
		// answered.
		@Test
		void refusesContentAfterSecondCrashAndAnswersTheOther() {
			Driver driver = new Driver("tiered", 8, 4);
			long poison = driver.arrive("broker", 666, false);
			driver.dispatcher.configure(Driver.manifest("tiered", 8, 4, Map.of()), driver.now);
			long harmless = driver.arrive("broker", 1, false);
			Set<String> crashed = new HashSet<>();
			crashed.add(driver.lastAttemptOf(poison).endpoint());
			driver.endAttempt(driver.lastAttemptOf(poison), AttemptOutcome.CRASHED);
			driver.endAttempt(driver.lastAttemptOf(harmless), AttemptOutcome.CRASHED);
			for (int i = 0; i < 100 && !driver.finished.containsKey(poison); i++) {
				driver.advance(Driver.SECOND / 4);
				endSecondAttempts(driver, poison, harmless, crashed);
			}
			assertThat(driver.finished).containsEntry(poison, ResultCode.CRASHING_CONTENT);
			assertThat(driver.finished).containsEntry(driver.arrive("broker", 666, false), ResultCode.CRASHING_CONTENT);
			assertThat(crashed).hasSize(2);
			assertThat(driver.publishedSuspects).containsEntry(666L, 2);
			assertThat(driver.publishedSuspects).containsEntry(1L, 0);
		}

		private void endSecondAttempts(Driver driver, long poison, long harmless, Set<String> crashed) {
			if (driver.attemptCount(poison) == 2 && !driver.finished.containsKey(poison)) {
				crashed.add(driver.lastAttemptOf(poison).endpoint());
				driver.endAttempt(driver.lastAttemptOf(poison), AttemptOutcome.CRASHED);
			}
			if (driver.attemptCount(harmless) == 2) {
				driver.endAttempt(driver.lastAttemptOf(harmless), AttemptOutcome.COMPLETE);
			}
		}

	}

}
