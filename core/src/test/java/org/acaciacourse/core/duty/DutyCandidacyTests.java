package org.acaciacourse.core.duty;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.core.state.ControlStateSnapshot.Lease;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class DutyCandidacyTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private final DutyCandidacy candidacy = new DutyCandidacy("vm/1", 3 * SECOND, SECOND, 0);

	private static Optional<Lease> heldBy(String holder, long expiresAt) {
		return Optional.of(new Lease("duty", holder, 4, expiresAt, holder));
	}

	@Test
	void freeLeaseIsForTheLeaderFirst() {
		assertThat(this.candidacy.isCandidate(true, 0)).isTrue();
		assertThat(this.candidacy.isCandidate(false, SECOND - 1)).isFalse();
		assertThat(this.candidacy.isCandidate(false, SECOND)).isTrue();
	}

	@Test
	void holderRenewsWhetherItLeadsOrNot() {
		this.candidacy.observe(heldBy("vm/1", 3_000), 0);
		assertThat(this.candidacy.isCandidate(false, 0)).isTrue();
	}

	// Guards against a log that fills with requests for a lease that another VM renews.
	@Test
	void leaseThatIsRenewedIsLeftAlone() {
		for (int i = 0; i < 20; i++) {
			this.candidacy.observe(heldBy("other/1", 3_000 + i), i * SECOND);
			assertThat(this.candidacy.isCandidate(true, i * SECOND)).isFalse();
		}
		this.candidacy.observe(heldBy("other/1", 3_019), 22 * SECOND);
		assertThat(this.candidacy.isCandidate(true, 22 * SECOND)).isTrue();
		assertThat(this.candidacy.isCandidate(false, 22 * SECOND)).isFalse();
		assertThat(this.candidacy.isCandidate(false, 23 * SECOND)).isTrue();
	}

	// Guards against a leader that takes a duty back that it can't carry out.
	@Test
	void vmThatGaveTheLeaseUpAbstains() {
		this.candidacy.abstain(10 * SECOND, SECOND);
		assertThat(this.candidacy.isCandidate(true, 10 * SECOND)).isFalse();
		assertThat(this.candidacy.isCandidate(true, 11 * SECOND)).isTrue();
	}

}
