package org.acaciacourse.engine;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;

import org.acaciacourse.core.code.ResultCode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link LocalSystem}.
 */
class LocalSystemTests {

	private static String verdict(LocalSystem system, String text) throws Exception {
		HttpRequest request = HttpRequest.newBuilder(URI.create(system.address() + "/services/sample-service/verdicts"))
			.headers("Authorization", "Bearer sample", "Idempotency-Key", "case-1")
			.POST(HttpRequest.BodyPublishers.ofString(text))
			.build();
		HttpResponse<String> response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
		return response.statusCode() + " " + response.body();
	}

	@Nested
	class Restarted {

		/*
		 * A caller posts a verdict, the system is stopped and started again with the same
		 * folder, and the caller posts it again. Configuration and claims come back from
		 * the folder, so it gets the first answer and nothing runs a second time.
		 */
		@Test
		void servesAtOnceAndKnowsItsClaims(@TempDir Path folder) throws Exception {
			LocalSystem first = new LocalSystem(folder);
			assertThat(first.start(0)).isEqualTo(ResultCode.OK);
			String answer = verdict(first, "hired");
			assertThat(answer).contains("hired");
			assertThat(first.stop()).isEqualTo(ResultCode.OK);
			LocalSystem second = new LocalSystem(folder);
			assertThat(second.start(0)).isEqualTo(ResultCode.OK);
			assertThat(verdict(second, "hired")).isEqualTo(answer);
			assertThat(second.stop()).isEqualTo(ResultCode.OK);
		}

	}

}
