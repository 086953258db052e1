package org.acaciacourse.core.memory;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.core.memory.UnreadResponses.Action;
import org.acaciacourse.core.memory.UnreadResponses.Reason;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class UnreadResponsesTests {

	private static final int LIMIT = 4 * 1024 * 1024;

	private static final int BOUND = LIMIT / 4 * 3;

	private static final int WINDOW = UnreadResponses.MAX_WINDOW_BYTES;

	private static final long READ_LIMIT = TimeUnit.SECONDS.toNanos(10);

	private static final long TICK = TimeUnit.MILLISECONDS.toNanos(100);

	private final MemoryBudget budget = new MemoryBudget(LIMIT);

	private final UnreadResponses<Simulated> responses = new UnreadResponses<>(this.budget, READ_LIMIT);

	private final List<Simulated> all = new ArrayList<>();

	private long now = TimeUnit.SECONDS.toNanos(1);

	private Simulated response() {
		Simulated response = new Simulated();
		this.all.add(response);
		return response;
	}

	private List<Action<Simulated>> tick() {
		this.now += TICK;
		this.all.forEach(Simulated::observe);
		List<Action<Simulated>> actions = this.responses.decide(this.now);
		actions.forEach((action) -> action.response().apply(action));
		return actions;
	}

	/** Tick for some time and return why responses were ended. */
	private List<Reason> run(long millis) {
		List<Reason> ends = new ArrayList<>();
		for (long i = 0; i < millis; i += 100) {
			tick().forEach((action) -> action.end().ifPresent(ends::add));
		}
		return ends;
	}

	@Nested
	class Window {

		// Guards against an endpoint that waits for a slow caller although there is
		// memory.
		@Test
		void endpointIsReadOnBeyondTheWindowWhileTheBudgetLasts() {
			Simulated slow = response();
			slow.write(BOUND - 2 * UnreadResponses.READ_BYTES);
			assertThat(slow.isPaused()).isFalse();
			slow.write(UnreadResponses.READ_BYTES + 1);
			assertThat(slow.isPaused()).isTrue();
		}

		// Guards against streams that are held up by callers of others.
		@Test
		void responseWithinItsWindowIsNeitherPausedNorEnded() {
			Simulated small = response();
			small.write(1_000);
			Simulated large = response();
			large.write(BOUND);
			assertThat(large.isPaused()).isTrue();
			small.write(1_000);
			assertThat(small.isPaused()).isFalse();
			assertThat(run(1_000)).containsExactly(Reason.NO_MEMORY);
			assertThat(small.ended).isFalse();
			assertThat(large.ended).isTrue();
		}

		// Guards against windows of many responses that exceed the budget by themselves.
		@ParameterizedTest
		@ValueSource(ints = { 1, 24, 100, 300 })
		void windowsOfAllTakeHalfOfTheShare(int count) {
			for (int i = 0; i < count; i++) {
				response().write(1);
			}
			long window = UnreadResponsesTests.this.responses.window();
			assertThat(window).isAtMost(WINDOW);
			assertThat(window * count).isAtMost(BOUND / 2);
		}

	}

	@Nested
	class Paused {

		// Guards against a stream that never goes on after its caller read it.
		@Test
		void responseGoesOnOnceItsCallerHasTakenIt() {
			Simulated burst = response();
			burst.write(BOUND);
			assertThat(burst.isPaused()).isTrue();
			burst.take(BOUND);
			assertThat(burst.isPaused()).isFalse();
			assertThat(UnreadResponsesTests.this.responses.waiting()).isEmpty();
		}

		// Guards against the same if no event tells that the caller has read.
		@Test
		void pausedResponseThatIsNearlyTakenGoesOnAtTheNextTick() {
			Simulated burst = response();
			burst.write(BOUND);
			burst.take(BOUND - 1);
			assertThat(tick()).containsExactly(new Action<>(burst, Optional.empty(), 1L, 0L));
			burst.take(1);
			assertThat(UnreadResponsesTests.this.responses.waiting()).isEmpty();
		}

		// Guards against responses that all go on at once when there is room for one.
		@Test
		void asManyGoOnAsHaveRoom() {
			Simulated holder = response();
			holder.write(BOUND / 2);
			for (int i = 0; i < 30; i++) {
				response().write(BOUND / 40);
			}
			UnreadResponsesTests.this.all.forEach((one) -> one.write(1));
			assertThat(pausedCount()).isEqualTo(31);
			long used = UnreadResponsesTests.this.budget.used();
			holder.take(used - BOUND + 3 * UnreadResponses.READ_BYTES);
			tick();
			assertThat(pausedCount()).isEqualTo(29);
		}

		private long pausedCount() {
			return UnreadResponsesTests.this.all.stream().filter(UnreadResponse::isPaused).count();
		}

		// Guards against an endpoint connection that is kept paused for the next request.
		@Test
		void responseWithoutSourceIsNotPaused() {
			Simulated complete = response();
			complete.write(BOUND);
			UnreadResponsesTests.this.responses.sourceEnded(complete);
			assertThat(complete.isPaused()).isFalse();
			assertThat(UnreadResponsesTests.this.budget.used()).isEqualTo(BOUND);
		}

	}

	@Nested
	class Ended {

		// Guards against a caller that ends as it reads slowly, while one that reads
		// nothing goes on.
		@Test
		void callerThatTakesSomethingIsNotEnded() {
			Simulated slow = response();
			slow.write(BOUND / 2 + WINDOW);
			Simulated stalled = response();
			stalled.write(BOUND / 2 - WINDOW);
			for (int i = 0; i < 10; i++) {
				slow.take(1);
				tick();
			}
			assertThat(stalled.ended).isTrue();
			assertThat(slow.ended).isFalse();
		}

		// Guards against a caller that loses its stream after a short pause.
		@Test
		void stalledCallerIsEndedAfterHalfASecondOnly() {
			response().write(BOUND);
			assertThat(run(400)).isEmpty();
			assertThat(run(200)).containsExactly(Reason.NO_MEMORY);
			assertThat(UnreadResponsesTests.this.budget.used()).isEqualTo(0);
		}

		// Guards against streams that are ended although there is memory.
		@Test
		void nobodyIsEndedWhileTheBudgetLasts() {
			response().write(BOUND / 2);
			assertThat(run(9_900)).isEmpty();
		}

		// Guards against connections that hold memory until their request's deadline.
		@Test
		void callerThatTakesNothingIsEndedAtTheReadLimit() {
			Simulated small = response();
			small.write(10);
			assertThat(run(9_900)).isEmpty();
			small.write(10);
			assertThat(run(200)).containsExactly(Reason.READ_LIMIT);
		}

		// Guards against the time without bytes, in which a caller can't take any.
		@Test
		void timeWithoutBytesDoesNotCount() {
			Simulated stream = response();
			stream.write(10);
			stream.take(10);
			run(20_000);
			stream.write(10);
			assertThat(run(9_900)).isEmpty();
		}

		// Guards against bytes that are released once more when the connection closes.
		@Test
		void endedResponseTakesNothing() {
			Simulated stalled = response();
			stalled.write(BOUND);
			run(1_000);
			stalled.observe();
			assertThat(UnreadResponsesTests.this.budget.used()).isEqualTo(0);
			assertThat(UnreadResponsesTests.this.responses.waiting()).isEmpty();
		}

	}

	/**
	 * Callers that read nothing, one byte at a time or in bursts, and others that read at
	 * once, in virtual time.
	 */
	@Nested
	class ManyCallers {

		private final Random random = new Random(7);

		private long most;

		private void step(int round) {
			for (int i = 0; i < UnreadResponsesTests.this.all.size(); i++) {
				Simulated one = UnreadResponsesTests.this.all.get(i);
				if (!one.isPaused() && !one.ended) {
					one.write(this.random.nextInt(UnreadResponses.READ_BYTES));
				}
				this.most = Math.max(this.most, UnreadResponsesTests.this.budget.used());
				switch (i % 4) {
					case 1 -> one.take(1);
					case 2 -> one.take((round % 3 == 0) ? one.held : 0);
					case 3 -> one.take(one.held);
					default -> one.take(0);
				}
			}
		}

		// Guards against memory without bound, and against callers that read and pay for
		// those that do not.
		@ParameterizedTest
		@ValueSource(ints = { 4, 40, 400 })
		void memoryIsBoundedAndCallersThatReadAreServed(int count) {
			for (int i = 0; i < count; i++) {
				response();
			}
			for (int round = 0; round < 200; round++) {
				step(round);
				UnreadResponsesTests.this.all.stream()
					.filter(UnreadResponse::isPaused)
					.forEach((one) -> one.pausedTicks++);
				tick();
			}
			// Each response within its window may add a read that exceeds it.
			assertThat(this.most).isAtMost((long) LIMIT + (long) count * UnreadResponses.READ_BYTES);
			for (int i = 0; i < count; i++) {
				Simulated one = UnreadResponsesTests.this.all.get(i);
				assertWithMessage("ended " + i).that(one.ended).isEqualTo(i % 4 == 0);
				if (i % 4 == 3) {
					assertWithMessage("paused at a tick " + i).that(one.pausedTicks).isEqualTo(0);
				}
			}
		}

	}

	/** A response with a simulated connection. */
	private final class Simulated extends UnreadResponse {

		private long held;

		private long taken;

		private int pausedTicks;

		private boolean ended;

		private void write(long bytes) {
			this.held += bytes;
			observe();
			UnreadResponsesTests.this.responses.pauses(this);
		}

		private void take(long bytes) {
			this.taken += Math.min(bytes, this.held);
			this.held -= Math.min(bytes, this.held);
			if (this.held == 0) {
				// The connection tells that all was sent.
				observe();
				UnreadResponsesTests.this.responses.resumes(this);
			}
		}

		private void observe() {
			UnreadResponsesTests.this.responses.observe(this, this.held, this.taken, UnreadResponsesTests.this.now);
		}

		private void apply(Action<Simulated> action) {
			this.ended |= action.end().isPresent();
		}

	}

}
