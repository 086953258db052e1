package org.acaciacourse.daemon.entry;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests with an engine that responds a second time, late.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class LateResponseTests {

	private static final int REQUESTS = 20;

	private static final Pattern CONTENT = Pattern.compile("\"content\":\"(question \\d+)\"");

	private final Map<Integer, FakeEndpoint.Call> last = new ConcurrentHashMap<>();

	private static String content(FakeEndpoint.Call call) {
		Matcher content = CONTENT.matcher(call.body);
		return (content.find()) ? content.group(1) : "";
	}

	private void respond(FakeEndpoint.Call call, Late late, boolean behind) throws IOException {
		Optional<FakeEndpoint.Call> earlier = Optional.ofNullable(this.last.put(call.connection, call));
		if (!behind && earlier.isPresent()) {
			late.write(earlier.get());
		}
		call.completion(call.id(), content(call));
		if (behind) {
			late.write(call);
		}
	}

	private void assertOwnResponses(Late late, boolean behind) throws Exception {
		try (FakeEndpoint engine = new FakeEndpoint((call, n) -> respond(call, late, behind));
				EntryFixture entry = EntryFixture.with(engine).start()) {
			for (int i = 0; i < REQUESTS; i++) {
				String question = "question " + i;
				HttpResponse<String> response = entry.send(entry.post("/v1/chat/completions",
						"{\"model\":\"m1\",\"messages\":[{\"role\":\"user\",\"content\":\"" + question + "\"}]}"));
				assertThat(response.statusCode()).isEqualTo(200);
				assertThat(response.body()).contains("\"content\":\"" + question + "\"");
			}
			long connections = engine.calls.stream().map((call) -> call.connection).distinct().count();
			assertThat(connections).isLessThan((long) engine.calls.size());
		}
	}

	// Guards against a late response that is taken for the response to the next request.
	@ParameterizedTest
	@EnumSource
	void lateResponseBeforeTheNextOneIsDiscarded(Late late) throws Exception {
		assertOwnResponses(late, false);
	}

	// Guards against the same with data behind a complete response.
	@ParameterizedTest
	@EnumSource
	void lateResponseBehindTheFirstIsDiscarded(Late late) throws Exception {
		assertOwnResponses(late, true);
	}

	/** What the engine sends late. */
	private enum Late {

		SUCCESS {

			@Override
			void write(FakeEndpoint.Call earlier) throws IOException {
				earlier.completion(earlier.id(), content(earlier));
			}

		},

		REJECTION {

			@Override
			void write(FakeEndpoint.Call earlier) throws IOException {
				earlier.refuse(earlier.id());
			}

		},

		FAILURE {

			@Override
			void write(FakeEndpoint.Call earlier) throws IOException {
				earlier.respond(500, "{}");
			}

		},

		CANNOT_RESUME {

			@Override
			void write(FakeEndpoint.Call earlier) throws IOException {
				earlier.respond(409, "{}");
			}

		};

		abstract void write(FakeEndpoint.Call earlier) throws IOException;

	}

}
