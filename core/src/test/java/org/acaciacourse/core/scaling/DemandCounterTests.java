package org.acaciacourse.core.scaling;

import java.time.Duration;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class DemandCounterTests {

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private static final long TARGET = SECOND / 2;

	private final DemandCounter counter = new DemandCounter();

	@Test
	void aSecondIsToldOnceItIsOver() {
		this.counter.sent("llm", 3_000, 5 * SECOND);
		this.counter.answerBegan("llm", TARGET + 1, TARGET, 5 * SECOND + 1);
		this.counter.eventForwarded("llm", 5 * SECOND + 2);
		this.counter.refused("llm", 6 * SECOND - 1);
		assertThat(this.counter.last(6 * SECOND - 1)).isEmpty();
		PoolDemand expected = new PoolDemand(3_000, 1, 1, 1, 1, 500, 3_001);
		assertThat(this.counter.last(6 * SECOND)).isEqualTo(Map.of("llm", expected));
		this.counter.sent("llm", 1, 6 * SECOND);
		assertThat(this.counter.last(7 * SECOND - 1)).isEqualTo(Map.of("llm", expected));
	}

	// Guards against counts that are lost as two threads read the clock at the turn of a
	// second.
	@Test
	void timeThatIsSlightlyBehindCountsInTheCurrentSecond() {
		this.counter.sent("llm", 3_000, 5 * SECOND);
		assertThat(this.counter.last(6 * SECOND).get("llm").begun()).isEqualTo(1);
		this.counter.sent("llm", 1, 6 * SECOND - 1);
		assertThat(this.counter.last(6 * SECOND + 1).get("llm").begun()).isEqualTo(1);
		assertThat(this.counter.last(7 * SECOND).get("llm")).isEqualTo(new PoolDemand(1, 0, 1, 0, 0, 0, 3_001));
	}

	// Guards against a demand that is told on and on after its callers are gone.
	@Test
	void afterASecondWithoutRequestsThereIsNoDemand() {
		this.counter.sent("llm", 3_000, 5 * SECOND);
		assertThat(this.counter.last(9 * SECOND).get("llm")).isEqualTo(new PoolDemand(0, 0, 0, 0, 0, 0, 3_000));
		this.counter.released("llm", 3_000, 9 * SECOND);
		assertThat(this.counter.last(10 * SECOND).get("llm")).isEqualTo(PoolDemand.NONE);
	}

}
