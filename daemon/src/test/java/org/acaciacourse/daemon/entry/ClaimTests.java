package org.acaciacourse.daemon.entry;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.state.ClaimKey;
import org.acaciacourse.core.state.ClaimOutcome;
import org.acaciacourse.daemon.link.ControlLink;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ClaimTests {

	private static final ClaimKey KEY = new ClaimKey("sample", "key-1");

	private static HttpRequest.Builder postVerdict(EntryFixture entry, String body) {
		return entry.post("/services/desk/verdicts", body, "Idempotency-Key", "key-1");
	}

	private static ControlLink.ClaimResult result(ResultCode code, ClaimOutcome outcome) {
		return new ControlLink.ClaimResult(false, code, outcome, Optional.empty());
	}

	@Nested
	class Granted {

		// The caller loses the response and sends the same request again: it gets the
		// stored response, and the service ran once.
		@Test
		void retryGetsTheStoredResponse() throws Exception {
			try (FakeEndpoint service = new FakeEndpoint((call, n) -> call.respond(201, "posted " + n));
					EntryFixture entry = EntryFixture.with(service).start()) {
				HttpResponse<String> first = entry.send(postVerdict(entry, "guilty"));
				HttpResponse<String> second = entry.send(postVerdict(entry, "guilty"));
				assertThat(first.body()).isEqualTo("posted 1");
				assertThat(second.body()).isEqualTo("posted 1");
				assertThat(second.statusCode()).isEqualTo(201);
				assertThat(service.calls).hasSize(1);
			}
		}

		// A stream that must not be repeated is stored with all its events, too.
		@Test
		void retryOfAStreamGetsAllItsEvents() throws Exception {
			try (FakeEndpoint engine = new FakeEndpoint((call, n) -> call.stream(0, 3));
					EntryFixture entry = EntryFixture.with(engine).start()) {
				HttpRequest.Builder request = entry.chat(true, "Idempotency-Key", "key-1", "X-Not-Repeated", "true");
				String first = entry.send(request).body();
				assertThat(entry.send(request).body()).isEqualTo(first);
				assertThat(engine.calls).hasSize(1);
			}
		}

		// The service reads the request and the connection breaks before the response.
		// The
		// request may have run: it is not sent again, and every retry of the caller is
		// refused because the outcome of the claim is unknown.
		@Test
		void requestWithLostResponseIsNeverRunAgain() throws Exception {
			try (FakeEndpoint service = new FakeEndpoint((call, n) -> call.close());
					EntryFixture entry = EntryFixture.with(service).start()) {
				assertThat(entry.send(postVerdict(entry, "x")).body()).contains("\"run\":\"unknown\"");
				assertThat(entry.link.completed.poll(20, TimeUnit.SECONDS)).isEqualTo(ClaimOutcome.UNKNOWN);
				assertThat(entry.send(postVerdict(entry, "x")).body()).contains("\"code\":402");
				assertThat(service.calls).hasSize(1);
			}
		}

		// The service proves that it did not run the request: the claim is released, and
		// a
		// retry of the caller may run.
		@Test
		void provenRefusalReleasesTheClaim() throws Exception {
			try (FakeEndpoint service = new FakeEndpoint((call, n) -> {
				if (n <= 3) {
					call.refuse(call.id());
					return;
				}
				call.respond(201, "posted");
			}); EntryFixture entry = EntryFixture.with(service).start()) {
				assertThat(entry.send(postVerdict(entry, "x")).body()).contains("\"run\":\"not-run\"");
				assertThat(entry.link.completed.poll(20, TimeUnit.SECONDS)).isEqualTo(ClaimOutcome.NOT_RUN);
				assertThat(entry.send(postVerdict(entry, "x")).body()).isEqualTo("posted");
			}
		}

		// The first call leaves a reusable connection. A call that must not be repeated
		// does not use it: the connection may be dead, and then it would be unknown
		// whether the call ran.
		@Test
		void notRepeatedCallUsesAFreshConnection() throws Exception {
			try (FakeEndpoint service = new FakeEndpoint((call, n) -> call.respond(200, "ok"));
					EntryFixture entry = EntryFixture.with(service).start()) {
				entry.send(entry.post("/services/desk/x", ""));
				entry.send(postVerdict(entry, "x"));
				assertThat(service.calls.get(1).connection).isNotEqualTo(service.calls.get(0).connection);
			}
		}

	}

	@Nested
	class Refused {

		private void assertRefused(ResultCode code, ClaimOutcome outcome, String run) throws Exception {
			try (FakeEndpoint service = new FakeEndpoint((call, n) -> call.respond(200, "ok"));
					EntryFixture entry = EntryFixture.with(service).start()) {
				entry.send(postVerdict(entry, "x"));
				entry.link.completed.poll(20, TimeUnit.SECONDS);
				entry.link.set(KEY, null, result(code, outcome));
				HttpResponse<String> response = entry.send(postVerdict(entry, "x"));
				assertThat(response.statusCode()).isEqualTo(code.httpStatus());
				assertThat(response.body()).contains("\"code\":" + code.number());
				assertThat(response.body()).contains("\"run\":\"" + run + "\"");
				assertThat(service.calls).hasSize(1);
			}
		}

		@Test
		void runningRequestIsReportedAsInProgress() throws Exception {
			assertRefused(ResultCode.CLAIM_IN_PROGRESS, ClaimOutcome.IN_PROGRESS, "unknown");
		}

		@Test
		void requestOfACrashedEntryIsReportedAsUnknown() throws Exception {
			assertRefused(ResultCode.CLAIM_OUTCOME_UNKNOWN, ClaimOutcome.UNKNOWN, "unknown");
		}

		@Test
		void fullClaimStoreIsReportedAsNotRun() throws Exception {
			assertRefused(ResultCode.CLAIMS_FULL, ClaimOutcome.UNKNOWN, "not-run");
		}

		@Test
		void responseThatIsNotStoredIsReportedAsRun() throws Exception {
			assertRefused(ResultCode.CLAIM_ANSWER_NOT_KEPT, ClaimOutcome.ANSWERED, "run");
		}

		@Test
		void differentContentUnderTheSameKeyIsRefused() throws Exception {
			try (FakeEndpoint service = new FakeEndpoint((call, n) -> call.respond(200, "ok"));
					EntryFixture entry = EntryFixture.with(service).start()) {
				entry.send(postVerdict(entry, "x"));
				assertThat(entry.send(postVerdict(entry, "y")).body()).contains("\"code\":403");
				assertThat(service.calls).hasSize(1);
			}
		}

		// The control VMs have no quorum, so the claim can't be committed. The caller is
		// answered at once that the request did not run, and no byte reaches the service.
		@Test
		void withoutQuorumNothingRuns() throws Exception {
			try (FakeEndpoint service = new FakeEndpoint((call, n) -> call.respond(200, "ok"));
					EntryFixture entry = EntryFixture.with(service).start()) {
				entry.link.loseQuorum();
				HttpResponse<String> response = entry.send(postVerdict(entry, "x"));
				assertThat(response.statusCode()).isEqualTo(503);
				assertThat(response.body()).contains("\"code\":400");
				assertThat(response.body()).contains("\"run\":\"not-run\"");
				assertThat(response.headers().firstValue("retry-after")).isPresent();
				assertThat(service.calls).isEmpty();
			}
		}

		@Test
		void notRepeatedCallWithoutAKeyIsRefused() throws Exception {
			try (EntryFixture entry = EntryFixture.with().start()) {
				assertThat(entry.send(entry.post("/services/desk/verdicts", "x")).body()).contains("\"code\":107");
			}
		}

		// Another spelling of a path that must not be repeated would reach the same call
		// of
		// the service without a claim.
		@Test
		void otherSpellingsOfAPathAreRefused() throws Exception {
			try (EntryFixture entry = EntryFixture.with().start()) {
				for (String path : new String[] { "/%76erdicts", "//verdicts", "/x/../verdicts", "/./verdicts" }) {
					assertThat(entry.send(entry.post("/services/desk" + path, "x")).body()).contains("\"code\":100");
				}
			}
		}

	}

}
