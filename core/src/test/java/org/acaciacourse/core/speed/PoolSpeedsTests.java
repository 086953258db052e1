package org.acaciacourse.core.speed;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import com.google.common.collect.Range;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests of {@link PoolSpeeds} in virtual time. */
class PoolSpeedsTests {

	private static final long MILLI = 1_000_000L;

	private static final long SECOND = 1_000_000_000L;

	private static final int ENDPOINTS = 8;

	private static final long WORK = 10_000;

	private static final long PREFILL_MILLIS = 200;

	private final SpeedTable table = new SpeedTable();

	private final PoolSpeeds pool = new PoolSpeeds(this.table);

	private final List<EndpointSpeed> endpoints = new ArrayList<>();

	private final Random random = new Random(7);

	private long now = SECOND;

	@BeforeEach
	void addEndpoints() {
		this.pool.switchedOn((paceStated) -> paceStated);
		for (int i = 0; i < ENDPOINTS; i++) {
			this.endpoints.add(this.pool.endpoint(i));
		}
	}

	private void prefill(int endpoint, double speed, double pace) {
		EndpointSpeed at = this.endpoints.get(endpoint);
		at.paceStated((int) Math.round(pace * 100), this.now);
		SpeedObservation observation = at.observe(new SpeedObservation.Work(WORK, true, false, 4, 24), this.now);
		long elapsed = Math.round(PREFILL_MILLIS * MILLI * pace / speed * (0.8 + 0.4 * this.random.nextDouble()));
		at.paceStated((int) Math.round(pace * 100), this.now + elapsed);
		observation.eventReceived(elapsed);
	}

	// Endpoint 0 works at the given speed, and all others at the usual one.
	private void run(int seconds, double speed, double pace) {
		for (int i = 0; i < seconds * 20; i++) {
			this.now += 50 * MILLI;
			int endpoint = this.random.nextInt(ENDPOINTS);
			prefill(endpoint, (endpoint == 0) ? speed : 1, (endpoint == 0) ? pace : 1);
			this.pool.update(this.now);
		}
	}

	@Nested
	class Learning {

		@Test
		void unknownEndpointHasTheSpeedOfTheMedian() {
			run(20, 0.5, 1);
			assertThat(PoolSpeedsTests.this.pool.endpoint(99).learned()).isEqualTo(1.0);
		}

		@Test
		void slowAndFastEndpointsAreLearned() {
			run(40, 0.5, 1);
			assertThat(PoolSpeedsTests.this.endpoints.get(0).learned()).isIn(Range.closed(0.45, 0.6));
			assertThat(PoolSpeedsTests.this.endpoints.get(3).learned()).isIn(Range.closed(0.9, 1.1));
			run(80, 1.6, 1);
			assertThat(PoolSpeedsTests.this.endpoints.get(0).learned()).isIn(Range.closed(1.4, 1.75));
		}

		/*
		 * The machine of an endpoint is slowed down by others on it. Taken for a slow
		 * endpoint, it would get too few requests for half a minute after it.
		 */
		@Test
		void statedPaceIsDividedOut() {
			run(40, 1, 2.5);
			assertThat(PoolSpeedsTests.this.endpoints.get(0).learned()).isIn(Range.closed(0.9, 1.1));
		}

		/*
		 * A pace that is stated at the first event says nothing of the time before it if
		 * another one was stated when the request was sent.
		 */
		@Test
		void timesInWhichThePaceChangesAreIgnored() {
			run(40, 1, 1);
			EndpointSpeed changing = PoolSpeedsTests.this.endpoints.get(0);
			for (int i = 0; i < 50; i++) {
				PoolSpeedsTests.this.now += 50 * MILLI;
				changing.paceStated(100, PoolSpeedsTests.this.now);
				SpeedObservation observation = changing.observe(new SpeedObservation.Work(WORK, true, false, 4, 24),
						PoolSpeedsTests.this.now);
				changing.paceStated(250, PoolSpeedsTests.this.now + PREFILL_MILLIS * MILLI);
				observation.eventReceived(PREFILL_MILLIS * MILLI);
				PoolSpeedsTests.this.pool.update(PoolSpeedsTests.this.now);
			}
			assertThat(changing.learned()).isIn(Range.closed(0.9, 1.1));
		}

		/* An endpoint that was slow gets tried again. */
		@Test
		void slowEndpointIsForgottenWithTime() {
			run(40, 0.3, 1);
			EndpointSpeed slow = PoolSpeedsTests.this.endpoints.get(0);
			assertThat(slow.learned()).isLessThan(0.45);
			PoolSpeedsTests.this.now += 100 * SECOND;
			PoolSpeedsTests.this.endpoints.get(1).paceStated(100, PoolSpeedsTests.this.now);
			PoolSpeedsTests.this.pool.update(PoolSpeedsTests.this.now);
			assertThat(slow.learned()).isGreaterThan(0.8);
		}

		@Test
		void singleRequestOfAnyDurationKeepsTheSpeedWithinItsBounds() {
			run(20, 1, 1);
			EndpointSpeed stalled = PoolSpeedsTests.this.pool.endpoint(50);
			stalled.observe(new SpeedObservation.Work(WORK, true, false, 1, 24), PoolSpeedsTests.this.now)
				.eventReceived(3_600 * SECOND);
			PoolSpeedsTests.this.now += SECOND;
			PoolSpeedsTests.this.pool.update(PoolSpeedsTests.this.now);
			assertThat(stalled.learned()).isIn(Range.closed(0.2, 1.0));
		}

		/* A full batch prolongs the gaps of an endpoint, which is not slower by that. */
		@Test
		void gapsAreComparedForTheRequestsThatRun() {
			for (int i = 0; i < 400; i++) {
				PoolSpeedsTests.this.now += 50 * MILLI;
				int endpoint = i % ENDPOINTS;
				int running = (endpoint == 0) ? 20 : 4;
				stream(endpoint, running, Math.round(20 * MILLI * (1 + 0.05 * running) / ((endpoint == 1) ? 0.5 : 1)));
			}
			assertThat(PoolSpeedsTests.this.endpoints.get(0).learned()).isIn(Range.closed(0.9, 1.1));
			assertThat(PoolSpeedsTests.this.endpoints.get(1).learned()).isIn(Range.closed(0.45, 0.6));
		}

		private void stream(int endpoint, int running, long gap) {
			EndpointSpeed at = PoolSpeedsTests.this.endpoints.get(endpoint);
			at.paceStated(100, PoolSpeedsTests.this.now);
			SpeedObservation observation = at.observe(new SpeedObservation.Work(0, false, false, running, 24),
					PoolSpeedsTests.this.now);
			for (int event = 0; event < 10; event++) {
				observation.eventReceived(50 * MILLI + event * gap);
			}
			observation.completed(PoolSpeedsTests.this.now + 50 * MILLI + 10 * gap);
			PoolSpeedsTests.this.pool.update(PoolSpeedsTests.this.now);
		}

		/* Requests without a prompt wait for a slot of a full endpoint. */
		@Test
		void plainAnswersAreComparedForTheSlotsTaken() {
			for (int i = 0; i < 400; i++) {
				PoolSpeedsTests.this.now += 50 * MILLI;
				EndpointSpeed at = PoolSpeedsTests.this.endpoints.get(i % ENDPOINTS);
				at.paceStated(100, PoolSpeedsTests.this.now);
				boolean full = i % ENDPOINTS == 0;
				boolean slow = i % ENDPOINTS == 1;
				at.observe(new SpeedObservation.Work(0, true, true, (full) ? 12 : 3, 6), PoolSpeedsTests.this.now)
					.completed(PoolSpeedsTests.this.now + ((full || slow) ? 140 : 70) * MILLI);
				PoolSpeedsTests.this.pool.update(PoolSpeedsTests.this.now);
			}
			assertThat(PoolSpeedsTests.this.endpoints.get(0).learned()).isIn(Range.closed(0.9, 1.1));
			assertThat(PoolSpeedsTests.this.endpoints.get(1).learned()).isIn(Range.closed(0.45, 0.6));
		}

	}

	@Nested
	class Use {

		@Test
		void speedsAreInUseOnceAPaceIsStatedUntilNoneWasForTenMinutes() {
			assertThat(PoolSpeedsTests.this.pool.isPaceStated(PoolSpeedsTests.this.now)).isFalse();
			assertThat(PoolSpeedsTests.this.pool.isInUse()).isFalse();
			PoolSpeedsTests.this.endpoints.get(0).paceStated(100, PoolSpeedsTests.this.now);
			assertThat(PoolSpeedsTests.this.pool.isInUse()).isTrue();
			PoolSpeedsTests.this.now += 599 * SECOND;
			assertThat(PoolSpeedsTests.this.pool.isPaceStated(PoolSpeedsTests.this.now)).isTrue();
			PoolSpeedsTests.this.now += 2 * SECOND;
			assertThat(PoolSpeedsTests.this.pool.isPaceStated(PoolSpeedsTests.this.now)).isFalse();
			PoolSpeedsTests.this.pool.update(PoolSpeedsTests.this.now);
			assertThat(PoolSpeedsTests.this.pool.isInUse()).isFalse();
		}

		@Test
		void speedIsExactlyOneWhileSwitchedOff() {
			run(40, 0.5, 2);
			PoolSpeedsTests.this.pool.switchedOn((paceStated) -> false);
			assertThat(PoolSpeedsTests.this.endpoints.get(0).learned()).isEqualTo(1.0);
			assertThat(PoolSpeedsTests.this.endpoints.get(0).expected(PoolSpeedsTests.this.now)).isEqualTo(1.0);
		}

		@Test
		void nothingIsObservedWhileSwitchedOff() {
			PoolSpeedsTests.this.pool.switchedOn((paceStated) -> false);
			run(20, 0.5, 1);
			assertThat(PoolSpeedsTests.this.table.ownNews(PoolSpeedsTests.this.now)).isEmpty();
		}

		@Test
		void statedPaceCountsInPartUntilItIsOld() {
			EndpointSpeed endpoint = PoolSpeedsTests.this.endpoints.get(0);
			endpoint.paceStated(250, PoolSpeedsTests.this.now);
			assertThat(endpoint.expected(PoolSpeedsTests.this.now)).isIn(Range.open(0.4, 1.0));
			assertThat(endpoint.expected(PoolSpeedsTests.this.now + 301 * MILLI)).isEqualTo(1.0);
		}

		@Test
		void newRunStartsWithTheSpeedOfTheMedian() {
			run(40, 0.3, 1);
			PoolSpeedsTests.this.endpoints.get(0).forget();
			assertThat(PoolSpeedsTests.this.endpoints.get(0).learned()).isEqualTo(1.0);
			PoolSpeedsTests.this.now += SECOND;
			PoolSpeedsTests.this.pool.update(PoolSpeedsTests.this.now);
			assertThat(PoolSpeedsTests.this.endpoints.get(0).learned()).isIn(Range.closed(0.9, 1.1));
		}

	}

}
