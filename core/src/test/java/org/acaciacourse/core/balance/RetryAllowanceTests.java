package org.acaciacourse.core.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RetryAllowanceTests {

	private static final long SECOND = 1_000_000_000L;

	// Sends a reserved retry that arrives at once.
	private static boolean spend(RetryAllowance allowance, long now) {
		boolean permitted = allowance.send(now);
		if (permitted) {
			allowance.arrived(now);
		}
		return permitted;
	}

	// Endpoints fail most requests for a while, and each entry VM would retry all of
	// them. The sum over all entry VMs in any window, as counted by an observer of the
	// arrivals, must stay within the ratio and the minimum although the VMs do not
	// communicate.
	@Test
	void sumOfAllEntryVmsStaysWithinTheBudgetInAnyWindow() {
		int entries = 6;
		Random random = new Random(17);
		List<RetryAllowance> allowances = new ArrayList<>();
		for (int i = 0; i < entries; i++) {
			RetryAllowance allowance = new RetryAllowance(-60 * SECOND, 10 * SECOND, 0.2, 52);
			allowance.sharers(OptionalInt.of(entries));
			allowances.add(allowance);
		}
		List<Long> requests = new ArrayList<>();
		List<Long> retries = new ArrayList<>();
		for (long now = 0; now < 60 * SECOND; now += SECOND / 50) {
			// The load is uneven: one VM gets half of it, plus its share of the rest.
			RetryAllowance allowance = allowances.get((random.nextBoolean()) ? 0 : random.nextInt(entries));
			allowance.request(now);
			requests.add(now);
			if (random.nextInt(10) < 8 && allowance.reserve(now) && spend(allowance, now)) {
				retries.add(now);
			}
		}
		assertThat(retries.size()).isGreaterThan(100);
		for (long retry : retries) {
			long spent = retries.stream().filter((at) -> at <= retry && at > retry - 10 * SECOND).count();
			long requested = requests.stream().filter((at) -> at <= retry && at > retry - 10 * SECOND).count();
			assertThat((double) spent).isAtMost(0.2 * requested + 52);
		}
	}

	@Test
	void singleEntryVmHasTheWholeMinimum() {
		RetryAllowance allowance = new RetryAllowance(-60 * SECOND, 10 * SECOND, 0, 10);
		allowance.sharers(OptionalInt.of(1));
		int spent = 0;
		while (allowance.reserve(SECOND) && spend(allowance, SECOND)) {
			spent++;
		}
		assertThat(spent).isEqualTo(9);
		assertThat(allowance.mayRetry(13 * SECOND)).isTrue();
	}

	@Nested
	class Start {

		// The previous process may have spent the burst in the same window.
		@Test
		void earnsFromItsOwnRequestsOnly() {
			RetryAllowance allowance = new RetryAllowance(0, 10 * SECOND, 0.2, 52);
			allowance.sharers(OptionalInt.of(1));
			assertThat(allowance.reserve(SECOND)).isFalse();
			for (int i = 0; i < 20; i++) {
				allowance.request(SECOND);
			}
			assertThat(allowance.left(SECOND)).isWithin(0.001).of(3.6);
			assertThat(allowance.left(12 * SECOND)).isGreaterThan(40.0);
		}

		// Without earned retries, a restarted entry VM could not retry until control has
		// counted for some time.
		@Test
		void hasARetryAfterAFewRequestsWithoutACount() {
			RetryAllowance allowance = new RetryAllowance(0, 10 * SECOND, 0.2, 52);
			for (int i = 0; i < 6; i++) {
				allowance.request(SECOND);
			}
			assertThat(allowance.reserve(SECOND) && spend(allowance, SECOND)).isTrue();
		}

	}

	@Nested
	class Reservations {

		private final RetryAllowance allowance = new RetryAllowance(-60 * SECOND, 10 * SECOND, 0.2, 10);

		Reservations() {
			this.allowance.sharers(OptionalInt.of(5));
		}

		// Otherwise all requests that wait for an endpoint would rely on the same last
		// retry.
		@Test
		void lastRetryIsReservedOnce() {
			assertThat(this.allowance.reserve(SECOND)).isTrue();
			assertThat(this.allowance.reserve(SECOND)).isFalse();
			this.allowance.release();
			assertThat(this.allowance.reserve(SECOND)).isTrue();
		}

		// VMs join while more retries are reserved than the smaller share permits.
		@Test
		void reservationsBeyondAReducedShareAreNotSpent() {
			this.allowance.sharers(OptionalInt.of(1));
			int reserved = 0;
			while (this.allowance.reserve(SECOND)) {
				reserved++;
			}
			assertThat(reserved).isEqualTo(9);
			this.allowance.sharers(OptionalInt.of(5));
			int spent = 0;
			for (int i = 0; i < reserved; i++) {
				spent += (spend(this.allowance, SECOND)) ? 1 : 0;
			}
			assertThat(spent).isEqualTo(1);
		}

	}

}
