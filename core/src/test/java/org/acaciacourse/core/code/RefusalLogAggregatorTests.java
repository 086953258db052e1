package org.acaciacourse.core.code;

import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RefusalLogAggregatorTests {

	private static final long SECOND = 1_000_000_000L;

	private final RefusalLogAggregator merger = new RefusalLogAggregator(3);

	@Test
	void burstOfRefusalsIsSummarized() {
		int logged = 0;
		for (int i = 0; i < 100; i++) {
			logged += (this.merger.shouldLog(ResultCode.NO_ENDPOINT, "r" + i, i)) ? 1 : 0;
		}
		assertThat(logged).isEqualTo(3);
		assertThat(this.merger.drainSummaries(SECOND / 2)).isEmpty();
		assertThat(this.merger.drainSummaries(SECOND)).containsExactly(
				new RefusalLogAggregator.Summary(ResultCode.NO_ENDPOINT, 97, List.of("r3", "r4", "r5", "r6", "r7")));
		assertThat(this.merger.shouldLog(ResultCode.NO_ENDPOINT, "next", SECOND)).isTrue();
	}

	@Test
	void causesAreCountedSeparately() {
		for (int i = 0; i < 3; i++) {
			assertThat(this.merger.shouldLog(ResultCode.NO_ENDPOINT, "a", 0)).isTrue();
			assertThat(this.merger.shouldLog(ResultCode.UNKNOWN_PATH, "b", 0)).isTrue();
		}
		assertThat(this.merger.drainSummaries(SECOND)).isEmpty();
	}

}
