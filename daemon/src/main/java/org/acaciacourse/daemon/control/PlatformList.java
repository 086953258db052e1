package org.acaciacourse.daemon.control;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Try;
import org.acaciacourse.core.dispatch.EndpointStatus;
import org.acaciacourse.daemon.endpoint.EndpointClient;
import org.acaciacourse.protocol.generated.EndpointNotice;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.asynchttpclient.Response;

/**
 * Reads the platform's list of VMs and endpoints every second. Only explicit states
 * count: {@code leaving}, {@code gone} or {@code live}. An endpoint that is missing from
 * the list keeps its last state, and a list that cannot be read changes nothing, so that
 * a stale, truncated or empty list neither removes endpoints from service nor sends
 * requests to a leaving endpoint.
 * <p>
 * Thread safe.
 */
final class PlatformList implements AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(PlatformList.class);

	private static final int MAX_NOTICES = 50_000;

	private static final int MAX_BYTES = 16 << 20;

	private final Optional<String> source;

	private final ObjectMapper mapper = new ObjectMapper();

	private volatile List<EndpointNotice> notices = List.of();

	private Optional<EndpointClient> client = Optional.empty();

	private Optional<PeriodicTask> refreshTask = Optional.empty();

	PlatformList(Optional<String> source) {
		this.source = source;
	}

	/**
	 * Start to read the list periodically.
	 * @param onChange called when a notice has changed
	 */
	void start(Runnable onChange) {
		if (this.source.isPresent()) {
			this.refreshTask = Optional.of(new PeriodicTask("platform-list", 1000, () -> refresh(onChange)));
		}
	}

	private void refresh(Runnable onChange) {
		List<EndpointNotice> before = this.notices;
		Try.of(this::fetch)
			.andThenTry(this::update)
			.onFailure((ex) -> LOGGER.warn("cannot read the platform's list; keeping the last notices", ex));
		if (!this.notices.equals(before)) {
			onChange.run();
		}
	}

	private String fetch() throws IOException, InterruptedException {
		String location = this.source.orElseThrow();
		if (!location.startsWith("http://") && !location.startsWith("https://")) {
			return Files.readString(Path.of(location));
		}
		try {
			// Responses bear no id, so a late one could not be told on a kept connection.
			Response response = client().request("GET", location).toCompletableFuture().get();
			if (response.getStatusCode() != 200) {
				throw new IOException("platform's list: unexpected HTTP status " + response.getStatusCode());
			}
			return response.getResponseBody(StandardCharsets.UTF_8);
		}
		catch (ExecutionException ex) {
			throw new IOException("platform's list: no response", ex);
		}
	}

	private synchronized EndpointClient client() {
		if (this.client.isEmpty()) {
			this.client = Optional.of(new EndpointClient(1));
		}
		return this.client.get();
	}

	/**
	 * Apply a list.
	 * @param json the text of the list
	 * @throws IOException if the text is not a valid list
	 */
	void update(String json) throws IOException {
		if (json.length() > MAX_BYTES) {
			throw new IOException("platform's list has " + json.length() + " characters, more than " + MAX_BYTES);
		}
		JsonNode endpoints = this.mapper.readTree(json).path("endpoints");
		if (!endpoints.isArray()) {
			throw new IOException("platform's list has no array \"endpoints\"");
		}
		SortedMap<String, EndpointStatus> next = new TreeMap<>();
		this.notices.forEach((n) -> next.put(n.getEndpoint(), EndpointStatus.values()[n.getStatus()]));
		for (JsonNode endpoint : endpoints) {
			applyState(endpoint.path("name").asText(), endpoint.path("state").asText(), next);
		}
		this.notices = next.entrySet()
			.stream()
			.limit(MAX_NOTICES)
			.map((entry) -> new EndpointNotice(entry.getKey(), entry.getValue().ordinal()))
			.toList();
	}

	private static void applyState(String name, String state, SortedMap<String, EndpointStatus> statuses) {
		switch (state) {
			case "leaving" -> statuses.put(name, EndpointStatus.LEAVING);
			case "gone" -> statuses.put(name, EndpointStatus.GONE);
			case "live" -> statuses.remove(name);
			default -> LOGGER.warn("platform's list has an unknown state for endpoint {}", name);
		}
	}

	/**
	 * Return the notices of endpoints that are not live.
	 * @return a notice for each endpoint that is leaving or gone
	 */
	List<EndpointNotice> notices() {
		return this.notices;
	}

	@Override
	public synchronized void close() {
		this.refreshTask.ifPresent(PeriodicTask::close);
		this.client.ifPresent(EndpointClient::close);
	}

}
