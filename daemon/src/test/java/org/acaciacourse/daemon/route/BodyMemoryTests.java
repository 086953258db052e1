package org.acaciacourse.daemon.route;

import java.util.ArrayList;
import java.util.List;

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
