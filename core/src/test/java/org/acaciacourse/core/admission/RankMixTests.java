package org.acaciacourse.core.admission;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RankMixTests {

	private static final long SECOND = 1_000_000_000L;

	private final RankMix mix = new RankMix();

	/* Without observations, a request must not be taken to overtake everything. */
	@Test
	void allWorkIsAheadWhileNothingIsKnown() {
		assertThat(this.mix.partAhead(0, 0)).isEqualTo(1);
	}

	/* Guards against refusing urgent requests for work that they overtake. */
	@Test
	void lessUrgentWorkIsNotAhead() {
		this.mix.begin(0, 1_000, 0);
		this.mix.begin(2, 9_000, 0);
		assertThat(this.mix.partAhead(0, SECOND)).isWithin(1e-9).of(0.1);
		assertThat(this.mix.partAhead(1, SECOND)).isWithin(1e-9).of(0.1);
		assertThat(this.mix.partAhead(2, SECOND)).isEqualTo(1);
	}

	/* Urgent work leaves at once: counted by arrivals it would seem to fill the queue. */
	@Test
	void workCountsForAsLongAsItWaits() {
		this.mix.begin(0, 5_000, 0);
		this.mix.begin(1, 5_000, 0);
		this.mix.done(0, 5_000, SECOND / 10);
		assertThat(this.mix.partAhead(0, SECOND)).isLessThan(0.15);
	}

	@Test
	void deferredWorkCountsApart() {
		this.mix.begin(RankMix.DEFERRED, 5_000, 0);
		this.mix.begin(1, 1_000, 0);
		assertThat(this.mix.partAhead(0, SECOND)).isEqualTo(0);
		assertThat(this.mix.waitingWork()).isEqualTo(1_000);
		assertThat(this.mix.deferredWork()).isEqualTo(5_000);
	}

}
