package org.acaciacourse.bench.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.acaciacourse.bench.check.Told;
import org.asynchttpclient.AsyncCompletionHandler;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;

/**
 * Calls like a customer, a new connection for each call, and keeps what it was told.
 * <p>
 * Thread safe.
 */
final class Caller implements AutoCloseable {

	private final ObjectMapper mapper = new ObjectMapper();

	private final AsyncHttpClient client = new DefaultAsyncHttpClient(
			new DefaultAsyncHttpClientConfig.Builder().setKeepAlive(false)
				.setMaxRequestRetry(0)
				.setRequestTimeout(Duration.ofSeconds(50))
				.setReadTimeout(Duration.ofSeconds(50))
				.build());

	/**
	 * Send a chat request.
	 * @param address where to, such as {@code http://127.0.0.1:8080}
	 * @param content the message
	 * @param streamed whether the answer is to be streamed
	 * @param headers more headers
	 * @return what the caller is told in the end; never fails
	 */
	CompletableFuture<Told> chat(String address, String content, boolean streamed, Map<String, String> headers) {
		ObjectNode body = this.mapper.createObjectNode().put("model", Cluster.MODEL).put("stream", streamed);
		body.withArray("messages").addObject().put("role", "user").put("content", content);
		return send(address + "/v1/chat/completions", body.toString(), content, streamed, headers);
	}

	/**
	 * Send a chat request that may not be repeated.
	 * @param address where to
	 * @param content the message
	 * @param key the idempotency key
	 * @return what the caller is told in the end
	 */
	CompletableFuture<Told> marked(String address, String content, String key) {
		return chat(address, content, false, Map.of("X-Not-Repeated", "true", "Idempotency-Key", key));
	}

	/**
	 * Send a body.
	 * @param url where to
	 * @param body the body
	 * @param content what the request is known by
	 * @param streamed whether the answer is a stream of events
	 * @param headers more headers; they replace the usual ones
	 * @return what the caller is told in the end
	 */
	CompletableFuture<Told> send(String url, String body, String content, boolean streamed,
			Map<String, String> headers) {
		Map<String, String> all = new LinkedHashMap<>(
				Map.of("Authorization", "Bearer " + Cluster.KEY, "Content-Type", "application/json"));
		all.putAll(headers);
		RequestBuilder request = new RequestBuilder("POST").setUrl(url).setBody(body);
		all.forEach(request::setHeader);
		String key = headers.getOrDefault("Idempotency-Key", "");
		StringBuilder received = new StringBuilder();
		return this.client.executeRequest(request.build(), new Collector(received))
			.toCompletableFuture()
			.handle((response, failure) -> (failure != null) ? Told.cut(content, key, received.toString())
					: Answers.told(response.getStatusCode(), response.getResponseBody(), content, key, streamed));
	}

	@Override
	public void close() throws IOException {
		this.client.close();
	}

	/** Keeps what was received, also if the end never comes. */
	private static final class Collector extends AsyncCompletionHandler<Response> {

		private final StringBuilder received;

		private Collector(StringBuilder received) {
			this.received = received;
		}

		@Override
		public State onBodyPartReceived(HttpResponseBodyPart content) throws Exception {
			this.received.append(new String(content.getBodyPartBytes(), StandardCharsets.UTF_8));
			return super.onBodyPartReceived(content);
		}

		@Override
		public Response onCompleted(Response response) {
			return response;
		}

	}

}
