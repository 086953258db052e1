package org.acaciacourse.core.balance;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

// An endpoint drops idle connections after 300 ms though it announces 15 s. The first two
// requests that are reset are lost to their callers; later ones use new connections.
class IdleLimitTests {

	private static final long MILLI = 1_000_000L;

	private final IdleLimit limit = new IdleLimit();

	@Test
	void thereIsNoLimitAtFirst() {
		assertThat(this.limit.limit(0)).isEqualTo(Long.MAX_VALUE);
	}

	@Test
	void twoLossesAfterIdlePeriodsSetTheLimit() {
		this.limit.lost(400 * MILLI, 3 * MILLI, 0);
		this.limit.lost(600 * MILLI, 3 * MILLI, 1_000 * MILLI);
		assertThat(this.limit.limit(1_001 * MILLI)).isEqualTo(200 * MILLI);
	}

	// Endpoints that lose two or three percent of their answers reset connections too. If
	// each such loss set a limit, it would cost new connections for seconds.
	@Test
	void singleLossSetsNoLimit() {
		this.limit.lost(400 * MILLI, 3 * MILLI, 0);
		this.limit.lost(400 * MILLI, 3 * MILLI, 5_000 * MILLI);
		assertThat(this.limit.limit(5_001 * MILLI)).isEqualTo(Long.MAX_VALUE);
	}

	@Test
	void lossAfterAShorterIdlePeriodLowersTheLimit() {
		this.limit.lost(900 * MILLI, 3 * MILLI, 0);
		this.limit.lost(800 * MILLI, 3 * MILLI, MILLI);
		this.limit.lost(320 * MILLI, 3 * MILLI, 2 * MILLI);
		assertThat(this.limit.limit(3 * MILLI)).isEqualTo(160 * MILLI);
	}

	@Test
	void lossDuringProcessingSetsNoLimit() {
		this.limit.lost(400 * MILLI, 600 * MILLI, 0);
		this.limit.lost(400 * MILLI, 600 * MILLI, MILLI);
		assertThat(this.limit.limit(2 * MILLI)).isEqualTo(Long.MAX_VALUE);
	}

	@Test
	void lossOfABusyConnectionSetsNoLimit() {
		this.limit.lost(5 * MILLI, 3 * MILLI, 0);
		this.limit.lost(5 * MILLI, 3 * MILLI, MILLI);
		assertThat(this.limit.limit(2 * MILLI)).isEqualTo(Long.MAX_VALUE);
	}

	@Test
	void limitExpires() {
		this.limit.lost(400 * MILLI, 3 * MILLI, 0);
		this.limit.lost(400 * MILLI, 3 * MILLI, MILLI);
		assertThat(this.limit.limit(11_000 * MILLI)).isEqualTo(Long.MAX_VALUE);
	}

}
