package org.acaciacourse.core.dispatch.suspect;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link SuspectTable}.
 */
class SuspectTableTests {

	private static final long SECOND = 1_000_000_000L;

	private final SuspectTable table = new SuspectTable();

	@Test
	void aWholeAnswerClears() {
		this.table.note(1, 1, true, 0);
		this.table.note(1, 0, false, SECOND);
		assertThat(this.table.crashes(1, SECOND)).isEqualTo(0);
		assertThat(this.table.hasActive(SECOND)).isFalse();
	}

	@Test
	void aConvictionIsNotTakenBackByAnOldSuspicion() {
		this.table.note(1, 2, false, 0);
		this.table.note(1, 1, false, SECOND);
		assertThat(this.table.crashes(1, SECOND)).isEqualTo(SuspectTable.CONVICTION);
	}

	@Test
	void allVmsTrySuspectsInTheSameOrder() {
		for (long content = 1; content <= 4; content++) {
			this.table.note(content, 1, content == 2, 0);
		}
		assertThat(this.table.rank(1, 2, SECOND)).isEqualTo(0);
		assertThat(this.table.rank(2, 2, SECOND)).isEqualTo(0);
		assertThat(this.table.rank(4, 2, SECOND)).isEqualTo(1);
	}

	@Test
	void anotherVmWaitsForTheVerdict() {
		this.table.note(1, 1, false, 0);
		this.table.note(2, 1, true, 0);
		assertThat(this.table.trialFrom(1, 15 * SECOND, SECOND)).isEqualTo(15 * SECOND);
		this.table.note(2, 1, false, SECOND / 2);
		assertThat(this.table.trialFrom(2, 15 * SECOND, SECOND)).isEqualTo(SECOND / 2 + SuspectTable.SETTLE_NANOS);
	}

	/*
	 * Control is slow or lost. Reports of other VMs may be on their way as long as the
	 * own one has not come back; without control a request must not wait for ever.
	 */
	@Test
	void ownSuspectWaitsUntilItsReportCameBack() {
		this.table.note(2, 1, true, 0);
		assertThat(this.table.trialFrom(2, 15 * SECOND, SECOND)).isEqualTo(SuspectTable.UNCONFIRMED_NANOS);
		this.table.note(2, 1, false, 3 * SECOND);
		assertThat(this.table.trialFrom(2, 15 * SECOND, 3 * SECOND)).isEqualTo(3 * SECOND + SuspectTable.SETTLE_NANOS);
	}

	@Test
	void isBoundedAndForgets() {
		for (long content = 0; content <= SuspectTable.LIMIT; content++) {
			this.table.note(content, 2, true, 0);
		}
		assertThat(this.table.crashes(0, 0)).isEqualTo(0);
		assertThat(this.table.crashes(1, 0)).isEqualTo(2);
		assertThat(this.table.crashes(1, SuspectTable.MEMORY_NANOS + 1)).isEqualTo(0);
	}

}
