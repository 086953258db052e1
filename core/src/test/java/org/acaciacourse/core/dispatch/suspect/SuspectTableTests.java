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
	void completeAnswerClearsSuspicion() {
		this.table.record(1, 1, true, 0);
		this.table.record(1, 0, false, SECOND);
		assertThat(this.table.crashes(1, SECOND)).isEqualTo(0);
		assertThat(this.table.hasActiveSuspect(SECOND)).isFalse();
	}

	@Test
	void blockedContentStaysBlockedAfterLateReport() {
		this.table.record(1, 2, false, 0);
		this.table.record(1, 1, false, SECOND);
		assertThat(this.table.crashes(1, SECOND)).isEqualTo(SuspectTable.BLOCKING_CRASHES);
	}

	@Test
	void allVmsOrderSuspectsByHash() {
		for (long content = 1; content <= 4; content++) {
			this.table.record(content, 1, content == 2, 0);
		}
		assertThat(this.table.rank(1, 2, SECOND)).isEqualTo(0);
		assertThat(this.table.rank(2, 2, SECOND)).isEqualTo(0);
		assertThat(this.table.rank(4, 2, SECOND)).isEqualTo(1);
	}

	@Test
	void otherVmWaitsForResultOfFirstVm() {
		this.table.record(1, 1, false, 0);
		this.table.record(2, 1, true, 0);
		assertThat(this.table.isolatedAttemptAllowedAt(1, 15 * SECOND, SECOND)).isEqualTo(15 * SECOND);
		this.table.record(2, 1, false, SECOND / 2);
		assertThat(this.table.isolatedAttemptAllowedAt(2, 15 * SECOND, SECOND))
			.isEqualTo(SECOND / 2 + SuspectTable.REPORT_PROPAGATION_NANOS);
	}

	/*
	 * The control plane is slow or down. Until this VM's own report has returned, reports
	 * of other VMs may still be in transit; without a control plane a request must not
	 * wait forever.
	 */
	@Test
	void ownSuspectWaitsForConfirmationOfItsReport() {
		this.table.record(2, 1, true, 0);
		assertThat(this.table.isolatedAttemptAllowedAt(2, 15 * SECOND, SECOND))
			.isEqualTo(SuspectTable.CONFIRMATION_TIMEOUT_NANOS);
		this.table.record(2, 1, false, 3 * SECOND);
		assertThat(this.table.isolatedAttemptAllowedAt(2, 15 * SECOND, 3 * SECOND))
			.isEqualTo(3 * SECOND + SuspectTable.REPORT_PROPAGATION_NANOS);
	}

	@Test
	void evictsOldestEntryAndExpires() {
		for (long content = 0; content <= SuspectTable.MAX_ENTRIES; content++) {
			this.table.record(content, 2, true, 0);
		}
		assertThat(this.table.crashes(0, 0)).isEqualTo(0);
		assertThat(this.table.crashes(1, 0)).isEqualTo(2);
		assertThat(this.table.crashes(1, SuspectTable.RETENTION_NANOS + 1)).isEqualTo(0);
	}

}
