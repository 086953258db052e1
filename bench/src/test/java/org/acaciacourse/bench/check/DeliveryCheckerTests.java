package org.acaciacourse.bench.check;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.UnaryOperator;

import org.acaciacourse.core.code.RunState;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link DeliveryChecker}.
 */
class DeliveryCheckerTests {

	private static DeliveryReport check(List<Told> told, String... contents) {
		DeliveryChecker checker = new DeliveryChecker(UnaryOperator.identity());
		checker.told(told);
		for (String content : contents) {
			checker.ran(List.of(new Ran("e1", "id", "", content)));
		}
		return checker.check();
	}

	@Nested
	class Sound {

		@Test
		void ownAnswerOfARunRequest() {
			assertThat(check(List.of(Told.answered("a", "", "a")), "a").isSound()).isTrue();
		}

		@Test
		void unmarkedRequestMayRunAgain() {
			assertThat(check(List.of(Told.answered("a", "", "a")), "a", "a").isSound()).isTrue();
		}

		@Test
		void runOfAnAnsweredCallExplainsTheRefusalOfItsResend() {
			Told resend = Told.refused("a", "k", 400, RunState.NOT_RUN);
			assertThat(check(List.of(Told.answered("a", "k", "a"), resend), "a").isSound()).isTrue();
		}

	}

	@Nested
	class Unsound {

		@Test
		void answerOfAnother() {
			assertThat(check(List.of(Told.answered("a", "", "b")), "a").wrongAnswers()).containsExactly("a");
		}

		@Test
		void answerThatNobodyRan() {
			assertThat(check(List.of(Told.answered("a", "", "a"))).wrongAnswers()).containsExactly("a");
		}

		@Test
		void markedRequestRunTwice() {
			assertThat(check(List.of(Told.answered("a", "k", "a")), "a", "a").doubleRuns()).containsExactly("k");
		}

		@Test
		void notRunThatRan() {
			Told refusal = Told.refused("a", "", 305, RunState.NOT_RUN);
			assertThat(check(List.of(refusal), "a").falseNotRun()).containsExactly("a");
		}

		@Test
		void cutAnswer() {
			assertThat(check(List.of(Told.cut("a", "", "")), "a").cut()).containsExactly("a");
		}

	}

	@Nested
	class RunLog {

		@Test
		void lineCutByACrashIsLeftOut(@TempDir Path folder) throws IOException {
			Path file = folder.resolve("runs");
			Files.writeString(file, """
					{"id":"1","key":"k","content":"a","count":1,"resumed":false}
					{"id":"1","key":"k","content":"a","count":1,"resumed":true}
					{"id":"2","ke""");
			assertThat(Ran.read("e1", file)).containsExactly(new Ran("e1", "1", "k", "a"));
		}

	}

}
