package org.acaciacourse.core.balance;

import java.util.OptionalInt;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RequestRetriesTests {

	private static final long SECOND = 1_000_000_000L;

	private final RetryAllowance allowance = new RetryAllowance(-60 * SECOND, 10 * SECOND, 0, 20);

	private final RequestRetries retries = new RequestRetries(this.allowance);

	RequestRetriesTests() {
		this.allowance.sharers(OptionalInt.of(10));
	}

	private boolean retry(long now) {
		return this.retries.reserve(now) && this.retries.send(now);
	}

	// A request that waits for an endpoint asks again and again.
	@Test
	void reservesOneRetryAndReleasesItOnce() {
		assertThat(this.retries.reserve(SECOND)).isTrue();
		assertThat(this.retries.reserve(SECOND)).isTrue();
		assertThat(this.allowance.left(SECOND)).isWithin(0.001).of(0.8);
		this.retries.release();
		this.retries.release();
		assertThat(this.allowance.left(SECOND)).isWithin(0.001).of(1.8);
	}

	@Test
	void firstArrivalIsNoRetry() {
		this.retries.confirmArrival(SECOND);
		assertThat(this.allowance.left(SECOND)).isWithin(0.001).of(1.8);
	}

	// An endpoint that stalls may read a retry long after it was sent, in a window with
	// later ones.
	@Test
	void retryCountsForAWindowFromItsArrival() {
		this.retries.confirmArrival(0);
		assertThat(retry(SECOND)).isTrue();
		assertThat(this.allowance.mayRetry(14 * SECOND)).isFalse();
		this.retries.confirmArrival(15 * SECOND);
		assertThat(this.allowance.mayRetry(25 * SECOND)).isFalse();
		assertThat(this.allowance.mayRetry(27 * SECOND)).isTrue();
	}

	// The first endpoint stalls, and the second one reads the request before it.
	@Test
	void laterArrivalOfTheFirstAttemptIsTheRetry() {
		assertThat(retry(SECOND)).isTrue();
		this.retries.confirmArrival(SECOND);
		assertThat(this.allowance.mayRetry(14 * SECOND)).isFalse();
		this.retries.confirmArrival(15 * SECOND);
		assertThat(this.allowance.mayRetry(25 * SECOND)).isFalse();
		assertThat(this.allowance.mayRetry(27 * SECOND)).isTrue();
	}

}
