package org.acaciacourse.daemon.order;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.acaciacourse.core.order.EngineOrder;
import org.acaciacourse.core.order.EngineState;
import org.acaciacourse.daemon.endpoint.EndpointClient;
import org.asynchttpclient.Response;

/**
 * Client of the part of the engines' HTTP protocol that concerns orders.
 * <p>
 * Thread safe.
 */
final class EngineOrderClient implements AutoCloseable {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final String PATH = "/orders";

	private static final int STATUS_REFUSED = 409;

	private static final int STATUS_DONE = 200;

	private final EndpointClient client = new EndpointClient(1);

	/**
	 * Read an engine's state.
	 * @param base the base address
	 * @return the state; fails if it cannot be read
	 */
	CompletionStage<EngineState> read(String base) {
		return this.client.request("GET", base + PATH).thenApply(EngineOrderClient::parseState);
	}

	private static EngineState parseState(Response response) {
		if (response.getStatusCode() != STATUS_DONE) {
			throw new IllegalStateException("status " + response.getStatusCode());
		}
		try {
			JsonNode json = JSON.readTree(response.getResponseBodyAsBytes());
			Set<String> loaded = new HashSet<>();
			json.path("loaded").forEach((model) -> loaded.add(model.asText()));
			return new EngineState(json.path("fencing").asLong(), loaded, json.path("role").asText());
		}
		catch (IOException ex) {
			throw new IllegalStateException("engine state is not valid JSON", ex);
		}
	}

	/**
	 * Send an order.
	 * @param base the base address
	 * @param order the order
	 * @param timeout after which the connection is closed, so that the engine can no
	 * longer receive the rest of the order
	 * @param maySend checked right before the first byte is sent
	 * @return whether the order was carried out, as opposed to refused because of its
	 * fencing number; fails if the outcome is unknown
	 */
	CompletionStage<Boolean> send(String base, EngineOrder order, Duration timeout, BooleanSupplier maySend) {
		ObjectNode body = JSON.createObjectNode();
		body.put("fencing", order.fencingNumber()).put("order", order.kind().label()).put("subject", order.subject());
		byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
		return this.client.post(base + PATH, Map.of(), bytes, timeout, maySend).thenApply(EngineOrderClient::isDone);
	}

	private static boolean isDone(Response response) {
		int status = response.getStatusCode();
		if (status != STATUS_DONE && status != STATUS_REFUSED) {
			throw new IllegalStateException("status " + status);
		}
		return status == STATUS_DONE;
	}

	@Override
	public void close() {
		this.client.close();
	}

}
