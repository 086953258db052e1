package org.acaciacourse.daemon.route;

import java.time.Duration;
import java.util.OptionalDouble;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RetryDelayTests {

	private static final long ID_HASH = -7;

	private static final Duration USUAL = RetryDelay.usual(ID_HASH);

	// Guards against callers that all come back at once, whatever the sign of their hash.
	@Test
	void usualDelayIsSpread() {
		assertThat(RetryDelay.usual(0)).isEqualTo(Duration.ofMillis(300));
		assertThat(RetryDelay.usual(299)).isEqualTo(Duration.ofMillis(599));
		assertThat(RetryDelay.usual(-1)).isEqualTo(Duration.ofMillis(599));
	}

	// Guards against callers that come back to the queue that they were refused for.
	@Test
	void delayLastsUntilTheRequestsBeforeHaveBeenSent() {
		assertThat(RetryDelay.behindQueue(ID_HASH, 6, OptionalDouble.of(2))).isEqualTo(USUAL.plusSeconds(3));
		assertThat(RetryDelay.behindQueue(ID_HASH, 6, OptionalDouble.empty())).isEqualTo(USUAL);
	}

	// Guards against a delay without end at a VM that has no share of any limit.
	@Test
	void delayIsBounded() {
		assertThat(RetryDelay.behindQueue(ID_HASH, 1, OptionalDouble.of(0))).isEqualTo(USUAL.plusSeconds(10));
	}

}
