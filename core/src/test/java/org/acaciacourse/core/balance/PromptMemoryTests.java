package org.acaciacourse.core.balance;

import java.util.List;

import io.vavr.control.Try;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PromptMemoryTests {

	private static final PromptShape.Part TEMPLATE = new PromptShape.Part(1, 2_000);

	private static final PromptShape.Part CASE = new PromptShape.Part(2, 4_000);

	private static final PromptShape.Part OWN = new PromptShape.Part(3, 1_000);

	private final PromptMemory memory = new PromptMemory();

	private static PromptShape prompt(PromptShape.Part... parts) {
		return new PromptShape(10_000, 100, List.of(parts));
	}

	@Test
	void partsAreHeldFromTheFirstOneOn() {
		this.memory.use(CASE);
		assertThat(this.memory.held(prompt(TEMPLATE, CASE, OWN))).isEqualTo(0);
		this.memory.use(TEMPLATE);
		assertThat(this.memory.held(prompt(TEMPLATE, CASE, OWN))).isEqualTo(6_000);
		assertThat(this.memory.held(prompt(TEMPLATE, OWN))).isEqualTo(2_000);
	}

	@Test
	void ownPartOfARequestIsNotHeldForOthers() {
		this.memory.use(OWN);
		assertThat(this.memory.held(prompt(OWN))).isEqualTo(0);
	}

	@Test
	void leastRecentlyUsedPartMakesRoom() {
		this.memory.engineTokens(20_000);
		this.memory.use(TEMPLATE);
		this.memory.use(CASE);
		this.memory.use(TEMPLATE);
		this.memory.use(new PromptShape.Part(9, 7_000));
		assertThat(this.memory.held(prompt(TEMPLATE, OWN))).isEqualTo(2_000);
		assertThat(this.memory.held(prompt(CASE, OWN))).isEqualTo(0);
	}

	@Test
	void partLargerThanTheMemoryIsHeldAlone() {
		this.memory.engineTokens(4_000);
		this.memory.use(TEMPLATE);
		this.memory.use(CASE);
		assertThat(this.memory.held(prompt(CASE, OWN))).isEqualTo(4_000);
		assertThat(this.memory.held(prompt(TEMPLATE, OWN))).isEqualTo(0);
	}

	// Without the bound the sum overflows, and nothing ever makes room again.
	@Test
	void sizesThatNoEngineHasSpoilNothing() {
		this.memory.engineTokens(8_000);
		this.memory.use(new PromptShape.Part(8, Long.MAX_VALUE));
		assertThat(Try.of(() -> new PromptShape.Part(9, Long.MIN_VALUE)).isFailure()).isTrue();
		this.memory.use(TEMPLATE);
		this.memory.use(CASE);
		assertThat(this.memory.held(prompt(CASE, OWN))).isEqualTo(4_000);
		assertThat(this.memory.held(prompt(TEMPLATE, OWN))).isEqualTo(0);
	}

	@Test
	void engineThatStartedAgainHoldsNothing() {
		this.memory.use(TEMPLATE);
		this.memory.forget();
		assertThat(this.memory.held(prompt(TEMPLATE, OWN))).isEqualTo(0);
	}

}
