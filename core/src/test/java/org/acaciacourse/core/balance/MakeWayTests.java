package org.acaciacourse.core.balance;

import java.time.Duration;

import org.acaciacourse.core.balance.MakeWay.Verdict;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

// A burst doubles the long prompts for some seconds. Sent on as they come they queue at the
// engines for seconds, and drafts that are due in 0.8 s wait behind them until their callers
// give up. The engines can't be asked to read drafts first.
class MakeWayTests {

	private static final Duration TARGET = Duration.ofMillis(2_500);

	private static final long MILLI = 1_000_000L;

	@Test
	void usualQueueHoldsNothingBack() {
		assertThat(MakeWay.decide(40_000, TARGET, 0)).isEqualTo(Verdict.SEND);
	}

	@Test
	void longPromptWaitsForAnEngineThatIsBehind() {
		assertThat(MakeWay.decide(120_000, TARGET, 0)).isEqualTo(Verdict.WAIT);
		assertThat(MakeWay.decide(120_000, TARGET, 900 * MILLI)).isEqualTo(Verdict.WAIT);
		assertThat(MakeWay.decide(60_000, TARGET, 900 * MILLI)).isEqualTo(Verdict.SEND);
	}

	@Test
	void longPromptIsRefusedBeforeItsTargetIsOutOfReach() {
		assertThat(MakeWay.decide(120_000, TARGET, 1_001 * MILLI)).isEqualTo(Verdict.REFUSE);
	}

	@Test
	void callersComeBackOnceTheEngineHasCaughtUp() {
		assertThat(MakeWay.untilRoom(120_000)).isEqualTo(Duration.ofSeconds(1));
		assertThat(MakeWay.untilRoom(10_000)).isEqualTo(Duration.ZERO);
	}

}
