package org.acaciacourse.core.state;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ProposalClock}.
 */
class ProposalClockTests {

	private static final long SECOND = 1_000_000_000;

	private final ControlState state = new ControlState();

	@Test
	void newLeaderWithAClockAheadDoesNotExpireALease() {
		// A ten-second lease is held when the leader fails. The wall clock of the next
		// leader is an hour ahead; by that clock the lease would expire at once.
		this.state.apply(1, new Command.AcquireLease(1_000, "writer", "a", 10_000));
		ProposalClock clock = new ProposalClock(this.state, 3_600_000, 5 * SECOND);
		assertThat(clock.proposedAt(3_601_000, 6 * SECOND)).isEqualTo(2_010);
	}

	@Test
	void wallClockSetForwardIsFollowedSlowly() {
		// After a day of leadership the wall clock is set forward by an hour. The
		// catch-up that was not used during that day must not be applied all at once.
		this.state.apply(1, new Command.AcquireLease(1_000, "writer", "a", 10_000));
		ProposalClock clock = new ProposalClock(this.state, 0, 0);
		long day = 86_400;
		long before = clock.proposedAt(0, day * SECOND);
		assertThat(clock.proposedAt(day * 1_000 + 3_600_000, (day + 1) * SECOND)).isEqualTo(before + 1_010);
	}

	@Test
	void withoutALeaseTheWallClockIsAdoptedAtOnce() {
		assertThat(new ProposalClock(this.state, 5_000, 0).proposedAt(5_000, 0)).isEqualTo(5_000);
	}

}
