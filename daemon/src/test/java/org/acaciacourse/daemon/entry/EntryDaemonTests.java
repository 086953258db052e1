package org.acaciacourse.daemon.entry;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EntryDaemonTests {

	@Nested
	class Responses {

		@Test
		void completionCarriesTheRequestId() throws Exception {
			try (FakeEndpoint engine = new FakeEndpoint((call, n) -> call.completion(call.id(), "hi"));
					EntryFixture entry = EntryFixture.with(engine).start()) {
				HttpResponse<String> response = entry.send(entry.chat(false));
				String id = response.headers().firstValue("x-request-id").orElseThrow();
				assertThat(response.statusCode()).isEqualTo(200);
				assertThat(response.body()).contains("{\"id\":\"" + id + "\"");
				assertThat(response.body()).contains("\"content\":\"hi\"");
			}
		}

		@Test
		void streamedCompletionEndsWithDone() throws Exception {
			try (FakeEndpoint engine = new FakeEndpoint((call, n) -> call.stream(0, 5));
					EntryFixture entry = EntryFixture.with(engine).start()) {
				HttpResponse<String> response = entry.send(entry.chat(true));
				assertThat(EntryFixture.tokens(response.body())).isEqualTo("t0 t1 t2 t3 t4 ");
				assertThat(response.body()).endsWith("data: [DONE]\n\n");
				assertThat(response.headers().firstValue("content-type")).hasValue("text/event-stream");
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
		void serviceIsCalledWithThePathBelowItsName() throws Exception {
			try (FakeEndpoint service = new FakeEndpoint((call, n) -> call.respond(201, call.path + call.body));
					EntryFixture entry = EntryFixture.with(service).start()) {
				HttpResponse<String> response = entry.send(entry.post("/services/desk/cases/1?x=y", "note"));
				assertThat(response.statusCode()).isEqualTo(201);
				assertThat(response.body()).isEqualTo("/cases/1?x=ynote");
				assertThat(service.calls.get(0).headers).doesNotContainKey("authorization");
			}
		}

	}

}
