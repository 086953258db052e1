package org.acaciacourse.daemon.endpoint;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.daemon.endpoint.StutteringServer.Position;
import org.asynchttpclient.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of the HTTP client with a server that sends each response a second time.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class LateResponseTests {

	private static final int REQUESTS = 40;

	private final EndpointClient client = new EndpointClient(1);

	@AfterEach
	void stop() {
		this.client.close();
	}

	private static StutteringServer server(Position position) throws Exception {
		return new StutteringServer(position,
				(request) -> StutteringServer.response(200, request.id(), request.path()));
	}

	private static String body(CompletionStage<Response> response) throws Exception {
		return response.handle((received, failure) -> (failure != null) ? "failed" : received.getResponseBody())
			.toCompletableFuture()
			.get();
	}

	// Guards against a late response that is taken for the response to the next request
	// on a pooled connection, or whose rest is.
	@ParameterizedTest
	@EnumSource
	void pooledRequestGetsItsOwnResponseOrNone(Position position) throws Exception {
		try (StutteringServer server = server(position)) {
			Set<String> received = new HashSet<>();
			for (int i = 0; i < REQUESTS; i++) {
				String path = "/" + i;
				String body = body(this.client.request("http://" + server.address() + path, "r" + i, false));
				assertThat(body).isAnyOf(path, "failed");
				received.add(body);
			}
			assertThat(received.size()).isAtLeast(REQUESTS / 2);
		}
	}

	// Guards against a connection that is kept without an id that could be compared: of
	// orders to engines, and of duties.
	@ParameterizedTest
	@EnumSource
	void newConnectionCarriesNoLateResponse(Position position) throws Exception {
		try (StutteringServer server = server(position)) {
			String url = "http://" + server.address();
			for (int i = 0; i < REQUESTS; i++) {
				assertThat(body(this.client.request("GET", url + "/get" + i))).isEqualTo("/get" + i);
				assertThat(body(
						this.client.post(url + "/post" + i, Map.of(), new byte[2], Duration.ofSeconds(20), () -> true)))
					.isEqualTo("/post" + i);
			}
			assertThat(server.requests().stream().map(StutteringServer.Request::connection).distinct().count())
				.isEqualTo(2 * REQUESTS);
		}
	}

}
