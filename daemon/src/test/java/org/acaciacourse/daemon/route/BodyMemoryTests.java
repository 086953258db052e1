package org.acaciacourse.daemon.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.acaciacourse.core.memory.MemoryBudget;
import org.acaciacourse.core.memory.MemoryUse;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class BodyMemoryTests {

	private static final int LIMIT = 1_000;

	private final BodyMemory memory = new BodyMemory(LIMIT);

	private final List<String> discarded = new ArrayList<>();

	private BodyMemory.Body body(String name) {
		return new BodyMemory.Body(() -> this.discarded.add(name));
	}

	// Guards against a body without end that fills the memory of the VM.
	@Test
	void bodyThatExceedsTheLimitAloneIsDiscarded() {
		BodyMemory.Body body = body("endless");
		this.memory.add(body, LIMIT);
		assertThat(this.discarded).isEmpty();
		this.memory.add(body, 1);
		assertThat(this.discarded).containsExactly("endless");
	}

	@Nested
	class Several {

		// Guards against a small body that is discarded in place of the one that takes
		// the memory.
		@Test
		void largestIsDiscarded() {
			BodyMemory.Body small = body("small");
			BodyMemory.Body large = body("large");
			BodyMemoryTests.this.memory.add(small, 300);
			BodyMemoryTests.this.memory.add(large, 600);
			BodyMemoryTests.this.memory.add(small, 101);
			assertThat(BodyMemoryTests.this.discarded).containsExactly("large");
		}

		// Guards against many small bodies that exceed the limit together.
		@Test
		void asManyAreDiscardedAsExceedTheLimit() {
			for (int i = 0; i < 100; i++) {
				BodyMemoryTests.this.memory.add(body("body " + i), 20);
			}
			assertThat(BodyMemoryTests.this.discarded).hasSize(50);
		}

		// Guards against a limit that discarded bodies still count towards.
		@Test
		void discardedBodyTakesNothing() {
			BodyMemoryTests.this.memory.add(body("large"), LIMIT + 1);
			BodyMemoryTests.this.memory.add(body("next"), LIMIT);
			assertThat(BodyMemoryTests.this.discarded).containsExactly("large");
		}

	}

	/** Under the budget that all uses of a VM share. */
	@Nested
	class Shared {

		private static final int MANY = 100_000;

		private final MemoryBudget budget = new MemoryBudget(10 * MANY);

		private final BodyMemory shared = new BodyMemory(Long.MAX_VALUE, Optional.of(this.budget));

		// Guards against buffered bodies that take the memory of what else the VM holds.
		@Test
		void largestIsDiscardedIfTheBudgetIsUsedUp() {
			this.shared.add(body("large"), 2 * MANY);
			this.shared.add(body("other"), MANY);
			assertThat(BodyMemoryTests.this.discarded).isEmpty();
			this.budget.change(MemoryUse.REQUESTS, 5 * MANY);
			this.shared.add(body("next"), MANY / 2);
			assertThat(BodyMemoryTests.this.discarded).containsExactly("large", "other").inOrder();
			assertThat(this.budget.used(MemoryUse.BUFFERED_RESPONSES)).isEqualTo(3 * MANY / 2);
		}

		// Guards against short answers that are lost as callers of others do not read.
		@Test
		void smallBodyIsNotDiscardedForTheBudget() {
			this.budget.change(MemoryUse.UNREAD_RESPONSES, 10 * MANY);
			BodyMemory.Body small = body("small");
			this.shared.add(small, 1_000);
			assertThat(BodyMemoryTests.this.discarded).isEmpty();
			this.shared.release(small);
			assertThat(this.budget.used(MemoryUse.BUFFERED_RESPONSES)).isEqualTo(0);
		}

	}

	@Nested
	class Released {

		// Guards against memory that is never free again after a body is complete.
		@Test
		void releasedBodyTakesNothing() {
			for (int i = 0; i < 10; i++) {
				BodyMemory.Body body = body("body " + i);
				BodyMemoryTests.this.memory.add(body, LIMIT);
				BodyMemoryTests.this.memory.release(body);
			}
			assertThat(BodyMemoryTests.this.discarded).isEmpty();
		}

		// Guards against a body that frees the memory of others, as an attempt that is
		// discarded releases its body once more.
		@Test
		void secondReleaseFreesNothing() {
			BodyMemory.Body body = body("first");
			BodyMemoryTests.this.memory.add(body, LIMIT);
			BodyMemoryTests.this.memory.release(body);
			BodyMemoryTests.this.memory.release(body);
			BodyMemoryTests.this.memory.add(body("second"), LIMIT + 1);
			assertThat(BodyMemoryTests.this.discarded).containsExactly("second");
		}

	}

}
