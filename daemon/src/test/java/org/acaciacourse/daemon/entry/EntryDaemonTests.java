package org.acaciacourse.daemon.entry;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EntryDaemonTests {

	@Nested
	class Answers {

		@Test
		void plainCompletionCarriesTheRequestsOwnId() throws Exception {
			try (FakeEndpoint engine = new FakeEndpoint((call, n) -> call.completion(call.id(), "hi"));
					EntryFixture entry = EntryFixture.with(engine).start()) {
				HttpResponse<String> answer = entry.send(entry.chat(false));
				String id = answer.headers().firstValue("x-request-id").orElseThrow();
				assertThat(answer.statusCode()).isEqualTo(200);
				assertThat(answer.body()).contains("{\"id\":\"" + id + "\"");
				assertThat(answer.body()).contains("\"content\":\"hi\"");
			}
		}

		@Test
		void streamedCompletionEndsWithDone() throws Exception {
			try (FakeEndpoint engine = new FakeEndpoint((call, n) -> call.stream(0, 5));
					EntryFixture entry = EntryFixture.with(engine).start()) {
				HttpResponse<String> answer = entry.send(entry.chat(true));
				assertThat(EntryFixture.tokens(answer.body())).isEqualTo("t0 t1 t2 t3 t4 ");
				assertThat(answer.body()).endsWith("data: [DONE]\n\n");
				assertThat(answer.headers().firstValue("content-type")).hasValue("text/event-stream");
			}
		}

		@Test
		void modelsOfTheCustomersClassesAreListed() throws Exception {
			try (EntryFixture entry = EntryFixture.with().start()) {
				HttpRequest.Builder request = HttpRequest.newBuilder(entry.uri("/v1/models"))
					.header("Authorization", "Bearer sample");
				assertThat(entry.send(request).body()).contains("\"id\":\"m1\"");
			}
		}

		@Test
		void serviceIsCalledBelowItsName() throws Exception {
			try (FakeEndpoint service = new FakeEndpoint((call, n) -> call.plain(201, call.path + call.body));
					EntryFixture entry = EntryFixture.with(service).start()) {
				HttpResponse<String> answer = entry.send(entry.post("/services/desk/cases/1?x=y", "note"));
				assertThat(answer.statusCode()).isEqualTo(201);
				assertThat(answer.body()).isEqualTo("/cases/1?x=ynote");
				assertThat(service.calls.get(0).headers).doesNotContainKey("authorization");
			}
		}

	}

}
