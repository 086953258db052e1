package org.acaciacourse.core.share;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * What a request leaves in the sums of its customer and of its pool.
 */
class RequestWorkTests {

	private static final long CACHE_TOKENS = 444_000;

	private static final String POOL = "llm";

	private static final long MILLI = 1_000_000;

	private final CustomerShares works = new CustomerShares();

	private final PoolShares shares = new PoolShares(this.works, POOL, () -> new PoolLoad(0, 0, 0, 1, 1), 1, 0);

	private double charged(String customer, long now) {
		return this.works.sum(now).byKey().getOrDefault(CustomerKey.of(POOL, customer), 0.0);
	}

	private double finished(long now) {
		return this.works.sum(now).byKey().getOrDefault(CustomerKey.finished(POOL), 0.0);
	}

	@Test
	void promptAndOutputAreChargedAndCorrectedByTheEvents() {
		RequestWork request = this.shares.begin("a", 0);
		request.placedAtEngine(5_000, 100, CACHE_TOKENS, 0);
		assertThat(charged("a", 0)).isWithin(1).of(6_000);
		request.began(0);
		IntStream.range(0, 7).forEach((i) -> request.eventForwarded());
		request.ended(true, 0);
		assertThat(charged("a", 0)).isWithin(1).of(5_070);
		assertThat(finished(0)).isWithin(1).of(5_070);
	}

	// Guards against a customer that is charged for requests that were refused.
	@Test
	void requestThatWasNotRunLeavesNothing() {
		RequestWork request = this.shares.begin("a", 0);
		request.placedAtEngine(5_000, 100, CACHE_TOKENS, 10 * MILLI);
		request.ended(false, 900 * MILLI);
		assertThat(charged("a", 900 * MILLI)).isWithin(1).of(0);
		assertThat(finished(900 * MILLI)).isWithin(1).of(0);
	}

	// Guards against time-outs in a queue that look like capacity.
	@Test
	void promptThatNothingFollowedIsNotFinished() {
		RequestWork request = this.shares.begin("a", 0);
		request.placedAtEngine(5_000, 100, CACHE_TOKENS, 0);
		request.ended(true, 0);
		assertThat(charged("a", 0)).isWithin(1).of(5_000);
		assertThat(finished(0)).isWithin(1).of(0);
	}

	@Test
	void eachAttemptIsCharged() {
		RequestWork request = this.shares.begin("a", 0);
		request.placedAtEngine(5_000, 0, CACHE_TOKENS, 0);
		request.ended(true, 0);
		request.queued(0);
		request.placedAtEngine(5_000, 0, CACHE_TOKENS, 0);
		request.ended(true, 0);
		assertThat(charged("a", 0)).isWithin(1).of(10_000);
	}

	// Guards against headers that claim a huge prompt, or none.
	@Test
	void falseFiguresAreBounded() {
		RequestWork huge = this.shares.begin("a", 0);
		huge.placedAtEngine(Long.MAX_VALUE, Long.MAX_VALUE, CACHE_TOKENS, 0);
		assertThat(charged("a", 0)).isAtMost(11.0 * CACHE_TOKENS);
		huge.ended(true, 0);
		assertThat(charged("a", 0)).isWithin(1).of(CACHE_TOKENS);
		RequestWork none = this.shares.begin("b", 0);
		none.placedAtEngine(-5, -5, CACHE_TOKENS, 0);
		IntStream.range(0, 30).forEach((i) -> none.eventForwarded());
		none.ended(true, 0);
		assertThat(charged("b", 0)).isWithin(1).of(400);
	}

	@Test
	void plainRequestIsChargedForTheTimeInItsSlot() {
		RequestWork request = this.shares.begin("a", 0);
		request.placedAtService(12, 6, 0);
		request.ended(true, 100 * MILLI);
		// Half of the time there it waited for a slot.
		assertThat(charged("a", 100 * MILLI)).isWithin(20).of(200);
	}

	@Test
	void workDecaysWithTheTimeConstant() {
		RequestWork request = this.shares.begin("a", 0);
		request.placedAtEngine(10_000, 0, CACHE_TOKENS, 0);
		assertThat(charged("a", 2_000 * MILLI)).isWithin(1).of(10_000 / Math.E);
	}

	@Test
	void smallWorksAreSummedUpInADigest() {
		IntStream.range(0, 90)
			.forEach((i) -> this.shares.begin("c" + i, 0).placedAtEngine(1_000 + 10 * i, 0, CACHE_TOKENS, 0));
		CustomerWorks told = this.works.own(0);
		assertThat(told.largest()).hasSize(24);
		assertThat(told.others()).isEqualTo(66);
		assertThat(told.largest().get(23).work()).isAtLeast(told.otherWork() / 66);
		assertThat(told.parts()).isEqualTo(1);
	}

}
