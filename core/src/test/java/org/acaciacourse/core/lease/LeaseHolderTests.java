package org.acaciacourse.core.lease;

import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link LeaseHolder}.
 */
class LeaseHolderTests {

	// Usable for 1000 - 20 - 80 = 900 ns after the request.
	private static final LeaseTiming TIMING = new LeaseTiming(1_000, 300, 20, 80);

	private final LeaseHolder holder = new LeaseHolder(TIMING);

	@Test
	void leaseTimeCountsFromTheRequestAndEndsEarly() {
		long request = this.holder.requestIfDue(100).getAsLong();
		this.holder.granted(request, 7);
		assertThat(this.holder.fencingNumber(999)).isEqualTo(OptionalLong.of(7));
		assertThat(this.holder.fencingNumber(1_000)).isEqualTo(OptionalLong.empty());
	}

	@Test
	void replyReadAfterAPauseDoesNotReviveTheLease() {
		// The process requests a renewal, is paused beyond the lease time and reads the
		// reply only then. Another process may hold the lease by that time.
		long request = this.holder.requestIfDue(0).getAsLong();
		this.holder.granted(request, 7);
		long renewal = this.holder.requestIfDue(300).getAsLong();
		this.holder.granted(renewal, 7);
		assertThat(this.holder.fencingNumber(5_000)).isEqualTo(OptionalLong.empty());
	}

	@Test
	void replyToATimedOutRequestIsIgnored() {
		long first = this.holder.requestIfDue(0).getAsLong();
		assertThat(this.holder.requestIfDue(299)).isEqualTo(OptionalLong.empty());
		long second = this.holder.requestIfDue(300).getAsLong();
		this.holder.granted(first, 7);
		assertThat(this.holder.fencingNumber(301)).isEqualTo(OptionalLong.empty());
		this.holder.granted(second, 8);
		assertThat(this.holder.fencingNumber(301)).isEqualTo(OptionalLong.of(8));
	}

	@Test
	void releaseEndsTheLeaseAtOnceEvenWithARenewalOutstanding() {
		long request = this.holder.requestIfDue(0).getAsLong();
		this.holder.granted(request, 7);
		long renewal = this.holder.requestIfDue(300).getAsLong();
		assertThat(this.holder.release(301).get()).isEqualTo(7);
		this.holder.granted(renewal, 7);
		assertThat(this.holder.fencingNumber(302)).isEqualTo(OptionalLong.empty());
	}

}
