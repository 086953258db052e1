package org.acaciacourse.core.balance;

import java.util.OptionalInt;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SharerCountTests {

	private static final long SECOND = 1_000_000_000L;

	private final SharerCount count = new SharerCount();

	// Control sends the count once a second.
	private void receive(int number, int fromSecond, int toSecond) {
		for (int second = fromSecond; second <= toSecond; second++) {
			this.count.update(number, second * SECOND);
		}
	}

	private OptionalInt sharers(int second) {
		return this.count.sharers(second * SECOND);
	}

	@Nested
	class Start {

		// All VMs restart at once, and control has heard from only a few entry VMs. Each
		// of the six would spend the shares of the others while endpoints fail
		// everywhere.
		@Test
		void countIsUnknownUntilControlHasHeardFromAll() {
			receive(1, 1, 2);
			assertThat(sharers(2)).isEqualTo(OptionalInt.empty());
			receive(6, 3, 16);
			assertThat(sharers(15)).isEqualTo(OptionalInt.empty());
			assertThat(sharers(16)).isEqualTo(OptionalInt.of(6));
		}

		// An entry VM that reaches no control VM must not consider itself the only one.
		@Test
		void countIsUnknownWithoutControl() {
			assertThat(sharers(100)).isEqualTo(OptionalInt.empty());
		}

	}

	@Nested
	class Changes {

		// A newly started control VM counts only a few entry VMs for some seconds.
		@Test
		void countFallsOnlyAfterTheHoldTime() {
			receive(6, 1, 20);
			receive(2, 21, 45);
			assertThat(sharers(45)).isEqualTo(OptionalInt.of(6));
			receive(2, 46, 46);
			assertThat(sharers(46)).isEqualTo(OptionalInt.of(2));
		}

		@Test
		void countRisesImmediately() {
			receive(6, 1, 20);
			receive(7, 21, 21);
			assertThat(sharers(21)).isEqualTo(OptionalInt.of(7));
		}

	}

	@Nested
	class Silence {

		// Control does not count a disconnected VM, and the others divide its share.
		@Test
		void countIsUnknownAfterTheLease() {
			receive(6, 1, 20);
			assertThat(sharers(30)).isEqualTo(OptionalInt.of(6));
			assertThat(sharers(31)).isEqualTo(OptionalInt.empty());
		}

		// The others may have spent the share of this VM while it was away.
		@Test
		void countIsUnknownUntilTheOthersHaveCountedThisVm() {
			receive(6, 1, 20);
			receive(6, 60, 75);
			assertThat(sharers(60)).isEqualTo(OptionalInt.empty());
			assertThat(sharers(74)).isEqualTo(OptionalInt.empty());
			assertThat(sharers(75)).isEqualTo(OptionalInt.of(6));
		}

		// The clock of a suspended VM stands still, while control stops to count the VM.
		@Test
		void countIsUnknownAfterASuspension() {
			receive(6, 1, 20);
			SharerCountTests.this.count.stalled(9);
			assertThat(sharers(21)).isEqualTo(OptionalInt.of(6));
			SharerCountTests.this.count.stalled(30);
			assertThat(sharers(21)).isEqualTo(OptionalInt.empty());
			receive(6, 22, 36);
			assertThat(sharers(36)).isEqualTo(OptionalInt.empty());
			receive(6, 37, 37);
			assertThat(sharers(37)).isEqualTo(OptionalInt.of(6));
		}

		// All control VMs restart, and the first one that answers knows of one entry VM.
		@Test
		void previousCountHoldsForTheHoldTime() {
			receive(6, 1, 20);
			receive(1, 60, 75);
			assertThat(sharers(75)).isEqualTo(OptionalInt.of(6));
			receive(1, 76, 86);
			assertThat(sharers(86)).isEqualTo(OptionalInt.of(1));
		}

	}

}
