package org.acaciacourse.daemon.endpoint;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.acaciacourse.core.dispatch.LoadReport;
import org.acaciacourse.daemon.process.FatalFaults;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.asynchttpclient.Response;

/**
 * Polls the model engines in turn for their load and for the contents of their prefix
 * caches. The request rate is bounded independently of the number of engines: the more
 * engines there are, the less often each is polled, and the dispatcher takes the age of a
 * report into account.
 * <p>
 * Thread safe. Reports are delivered on the polling thread.
 */
public final class EndpointPoller implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(EndpointPoller.class);

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final long TICK_MILLIS = 50;

	// 60 requests per second of about 400 bytes each stay below the 30 KB/s that a VM
	// may use for control traffic. Up to 13 engines are still polled four times a
	// second.
	private static final int MAX_REQUESTS_PER_TICK = 3;

	private static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	private static final int CACHE_EVENTS_EVERY = 4;

	private final EndpointClient client;

	private final Listener listener;

	private final EngineStartTimes startTimes;

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread made = new Thread(task, "poll");
		made.setDaemon(true);
		return made;
	});

	private Map<String, Target> targets = Map.of();

	private List<Target> pollOrder = List.of();

	private int next;

	private long pollCount;

	public EndpointPoller(EndpointClient client, EngineStartTimes startTimes, Listener listener) {
		this.client = client;
		this.startTimes = startTimes;
		this.listener = listener;
	}

	/** Start polling. */
	public void start() {
		this.executor.scheduleWithFixedDelay(this::tickSafely, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Set the engines to poll.
	 * @param bases the base addresses of the engines by endpoint name
	 */
	public void setEndpoints(Map<String, String> bases) {
		this.executor.execute(() -> replaceTargets(bases));
	}

	private void replaceTargets(Map<String, String> bases) {
		Map<String, Target> updated = new HashMap<>();
		bases.forEach((name, base) -> {
			Target known = this.targets.get(name);
			updated.put(name, (known != null && known.base.equals(base)) ? known : new Target(name, base));
		});
		this.targets = updated;
		this.pollOrder = List.copyOf(updated.values());
		this.startTimes.retain(bases.values());
	}

	// The executor would keep an error to itself and run no more ticks.
	private void tickSafely() {
		try {
			tick();
		}
		catch (Error ex) {
			FatalFaults.report(ex);
			throw ex;
		}
	}

	private void tick() {
		int requests = Math.min(MAX_REQUESTS_PER_TICK, this.pollOrder.size());
		for (int i = 0; i < requests; i++) {
			this.next = (this.next + 1) % this.pollOrder.size();
			pollTarget(this.pollOrder.get(this.next));
		}
	}

	private void pollTarget(Target target) {
		long now = System.nanoTime();
		if (target.inFlight || now - target.lastRequestNanos < MIN_INTERVAL_NANOS) {
			return;
		}
		target.inFlight = true;
		target.lastRequestNanos = now;
		boolean cacheEvents = ++target.requestCount % CACHE_EVENTS_EVERY == 0;
		String path = (cacheEvents) ? "/cache/events?since=" + target.nextCacheEvent : "/load";
		String id = "poll-" + ++this.pollCount;
		this.client.request(target.base + path, id, !target.repeatsIds).whenCompleteAsync((response, failure) -> {
			target.inFlight = false;
			target.repeatsIds = failure == null && id.equals(response.getHeader(EndpointClient.REQUEST_ID));
			if (failure == null && response.getStatusCode() == 200) {
				readResponse(target, cacheEvents, response);
			}
		}, this.executor);
	}

	private void readResponse(Target target, boolean cacheEvents, Response response) {
		try {
			JsonNode json = JSON.readTree(response.getResponseBodyAsBytes());
			if (cacheEvents) {
				readCacheEvents(target, json);
			}
			else {
				if (json.has("started_ms")) {
					this.startTimes.put(target.base, json.path("started_ms").asLong());
				}
				long age = TimeUnit.MILLISECONDS.toNanos(json.path("age_ms").asLong());
				this.listener.loadReported(target.name, new LoadReport(json.path("sequence").asLong(),
						json.path("running").asInt(), json.path("queued").asInt(), age));
			}
		}
		catch (IOException | NumberFormatException ex) {
			logger.debug("cannot parse the report of endpoint {}", target.name);
		}
	}

	private void readCacheEvents(Target target, JsonNode json) {
		target.nextCacheEvent = json.path("next").asLong(target.nextCacheEvent);
		for (JsonNode event : json.path("events")) {
			long prefix = Long.parseUnsignedLong(event.path("prefix").asText(), 16);
			this.listener.prefixReported(target.name, prefix, event.path("held").asBoolean());
		}
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	/** Polling state of an engine; used on the polling thread only. */
	private static final class Target {

		private final String name;

		private final String base;

		private boolean inFlight;

		private long lastRequestNanos = System.nanoTime() - MIN_INTERVAL_NANOS;

		private int requestCount;

		private long nextCacheEvent;

		/** Without ids, a late response on a kept connection can't be told. */
		private boolean repeatsIds;

		private Target(String name, String base) {
			this.name = name;
			this.base = base;
		}

	}

	/**
	 * Receives the reports of the engines, on the polling thread.
	 */
	public interface Listener {

		/**
		 * Called when an engine has reported its load.
		 * @param endpoint the name of the endpoint
		 * @param report the report
		 */
		void loadReported(String endpoint, LoadReport report);

		/**
		 * Called when an engine has reported a change of its prefix cache.
		 * @param endpoint the name of the endpoint
		 * @param prefixHash the hash of a prefix
		 * @param held whether the cache holds it
		 */
		void prefixReported(String endpoint, long prefixHash, boolean held);

	}

}
