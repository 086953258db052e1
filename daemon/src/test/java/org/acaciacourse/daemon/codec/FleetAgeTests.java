package org.acaciacourse.daemon.codec;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class FleetAgeTests {

	private static final long MILLI = 1_000_000;

	private static final long ASKED_AT = -50 * MILLI;

	// Guards against a list that looks newer than it is: the clocks of the VMs differ by
	// 1,000 ms, and the question takes 3 ms.
	@Test
	void delayOnTheWayMakesAListLookOlder() {
		long receivedAt = ASKED_AT + 1_003 * MILLI;
		long readAt = receivedAt - 400 * MILLI;
		assertThat(FleetAge.readAt(FleetAge.millis(readAt, receivedAt), ASKED_AT)).isEqualTo(ASKED_AT - 400 * MILLI);
	}

	@Test
	void partOfAMillisecondCountsAsAWholeOne() {
		assertThat(FleetAge.millis(9 * MILLI - 1, 10 * MILLI)).isEqualTo(2);
		assertThat(FleetAge.millis(9 * MILLI, 10 * MILLI)).isEqualTo(1);
	}

	@Test
	void readThatBeganAfterTheQuestionHasANegativeAge() {
		assertThat(FleetAge.millis(10 * MILLI + 1, 10 * MILLI)).isEqualTo(0);
		assertThat(FleetAge.millis(310 * MILLI, 10 * MILLI)).isEqualTo(-300);
		assertThat(FleetAge.readAt(-300, ASKED_AT)).isEqualTo(ASKED_AT + 300 * MILLI);
	}

}
