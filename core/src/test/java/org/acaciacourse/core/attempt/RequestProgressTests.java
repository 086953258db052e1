package org.acaciacourse.core.attempt;

import java.time.Duration;
import java.util.List;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.code.RunState;
import org.acaciacourse.core.route.PoolShare;
import org.acaciacourse.core.route.RequestKind;
import org.acaciacourse.core.route.Route;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;

class RequestProgressTests {

	private static Route route(RequestKind kind, boolean resumable, int attempts) {
		return new Route("r", "h", "/", kind, resumable, Duration.ofSeconds(1), Duration.ofMillis(100), Duration.ZERO,
				0, List.of(new PoolShare("p", 1)), attempts, false, false);
	}

	private static RequestProgress sent(RequestKind kind, boolean resumable, AttemptEnd end) {
		RequestProgress progress = new RequestProgress(route(kind, resumable, 2));
		progress.attemptStarted("a");
		if (end.isSent()) {
			progress.beforeSend();
		}
		progress.attemptEnded(end);
		return progress;
	}

	@Nested
	class NonIdempotent {

		// The endpoint may have run the request before the connection broke. A retry
		// could run it twice, for example store the client's record twice.
		@ParameterizedTest
		@EnumSource(value = AttemptEnd.class, names = { "FAILED", "BROKEN", "MISMATCH", "SILENT" })
		void isNotRetriedOnceItMayHaveRun(AttemptEnd end) {
			for (RequestKind kind : List.of(RequestKind.UNSAFE, RequestKind.STREAM)) {
				RequestProgress progress = sent(kind, false, end);
				assertThat(progress.mayRetry()).isFalse();
				assertThat(progress.runState()).isEqualTo(RunState.UNKNOWN);
				assertThat(progress.failure(false).httpStatus()).isAnyOf(502, 504);
				assertThat(progress.failure(true).httpStatus()).isAnyOf(502, 504);
			}
		}

		@ParameterizedTest
		@EnumSource(value = AttemptEnd.class, names = { "NOT_SENT", "NOT_RUN" })
		void isRetriedIfItCertainlyDidNotRun(AttemptEnd end) {
			RequestProgress progress = sent(RequestKind.UNSAFE, false, end);
			assertThat(progress.mayRetry()).isTrue();
			assertThat(progress.runState()).isEqualTo(RunState.NOT_RUN);
			assertThat(progress.failure(false)).isEqualTo(ResultCode.NO_ENDPOINT);
		}

		// The second endpoint reports that it did not run the request, which says nothing
		// about the first one. Reporting "not run" would make the client send it again.
		@Test
		void laterRefusalDoesNotUndoAnEarlierAttemptThatMayHaveRun() {
			RequestProgress progress = sent(RequestKind.SAFE, false, AttemptEnd.BROKEN);
			progress.attemptStarted("b");
			progress.beforeSend();
			progress.attemptEnded(AttemptEnd.NOT_RUN);
			assertThat(progress.runState()).isEqualTo(RunState.UNKNOWN);
		}

		@Test
		void timeoutDuringAnAttemptDoesNotReportNotRun() {
			RequestProgress progress = new RequestProgress(route(RequestKind.UNSAFE, false, 1));
			progress.attemptStarted("a");
			progress.beforeSend();
			assertThat(progress.failure(true)).isEqualTo(ResultCode.ENDPOINT_TIMEOUT);
		}

	}

	@Nested
	class Attempts {

		@Test
		void areLimitedByTheRoute() {
			RequestProgress progress = sent(RequestKind.SAFE, false, AttemptEnd.BROKEN);
			assertThat(progress.mayRetry()).isTrue();
			progress.attemptStarted("b");
			progress.beforeSend();
			progress.attemptEnded(AttemptEnd.BROKEN);
			assertThat(progress.mayRetry()).isFalse();
			assertThat(progress.triedInstances()).containsExactly("a", "b");
		}

		// A full endpoint refuses the only permitted attempt. As no endpoint has run the
		// request, another one may; otherwise the client would get an error while the
		// next endpoint is idle.
		@Test
		void refusedAttemptDoesNotCountTowardsTheLimit() {
			RequestProgress progress = new RequestProgress(route(RequestKind.UNSAFE, false, 1));
			progress.attemptStarted("a");
			progress.beforeSend();
			progress.attemptEnded(AttemptEnd.NOT_RUN);
			assertThat(progress.mayRetry()).isTrue();
			assertThat(progress.isRetry()).isTrue();
			progress.attemptStarted("b");
			progress.beforeSend();
			progress.attemptEnded(AttemptEnd.BROKEN);
			assertThat(progress.mayRetry()).isFalse();
		}

		@Test
		void attemptThatSentNothingDoesNotMakeTheNextOneARetry() {
			RequestProgress progress = sent(RequestKind.SAFE, false, AttemptEnd.NOT_SENT);
			assertThat(progress.isRetry()).isFalse();
		}

	}

	@Nested
	class Streams {

		@Test
		void resumableStreamIsRetriedAfterPartOfItWasForwarded() {
			RequestProgress progress = new RequestProgress(route(RequestKind.STREAM, true, 2));
			progress.attemptStarted("a");
			progress.beforeSend();
			progress.responseForwarded();
			progress.attemptEnded(AttemptEnd.BROKEN);
			assertThat(progress.mayRetry()).isTrue();
		}

		@Test
		void nonResumableStreamIsNotRetriedAfterPartOfItWasForwarded() {
			RequestProgress progress = new RequestProgress(route(RequestKind.STREAM, false, 2));
			progress.attemptStarted("a");
			progress.beforeSend();
			progress.responseForwarded();
			progress.attemptEnded(AttemptEnd.BROKEN);
			assertThat(progress.mayRetry()).isFalse();
		}

	}

}
