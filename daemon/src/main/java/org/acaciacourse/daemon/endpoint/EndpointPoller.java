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
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.asynchttpclient.Response;

/**
 * Asks the model engines in turn for their load and for what their prefix caches hold.
 * The number of questions a second is bounded, whatever the number of engines: with many,
 * each is asked less often, and the dispatcher takes the age of a report into account.
 * <p>
 * Thread safe. The answers are handed over on the polling thread.
 */
public final class EndpointPoller implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(EndpointPoller.class);

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final long TICK_MILLIS = 50;

	// 60 questions a second at some 400 bytes each stay below the 30 KB/s that a VM may
	// spend on control; 13 engines are still asked four times a second.
	private static final int MOST_PER_TICK = 3;

	private static final long LEAST_INTERVAL = TimeUnit.MILLISECONDS.toNanos(250);

	private static final int EVENTS_EVERY = 4;

	private final EndpointClient client;

	private final Listener listener;

	private final EngineStarts starts;

	private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread made = new Thread(task, "poll");
		made.setDaemon(true);
		return made;
	});

	private Map<String, Target> targets = Map.of();

	private List<Target> order = List.of();

	private int next;

	public EndpointPoller(EndpointClient client, EngineStarts starts, Listener listener) {
		this.client = client;
		this.starts = starts;
		this.listener = listener;
	}

	/** Begin. */
	public void start() {
		this.thread.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Set which engines to ask.
	 * @param bases the base address of each engine by name
	 */
	public void endpoints(Map<String, String> bases) {
		this.thread.execute(() -> replace(bases));
	}

	private void replace(Map<String, String> bases) {
		Map<String, Target> kept = new HashMap<>();
		bases.forEach((name, base) -> {
			Target known = this.targets.get(name);
			kept.put(name, (known != null && known.base.equals(base)) ? known : new Target(name, base));
		});
		this.targets = kept;
		this.order = List.copyOf(kept.values());
		this.starts.retain(bases.values());
	}

	private void tick() {
		int most = Math.min(MOST_PER_TICK, this.order.size());
		for (int i = 0; i < most; i++) {
			this.next = (this.next + 1) % this.order.size();
			ask(this.order.get(this.next));
		}
	}

	private void ask(Target target) {
		long now = System.nanoTime();
		if (target.waiting || now - target.askedAt < LEAST_INTERVAL) {
			return;
		}
		target.waiting = true;
		target.askedAt = now;
		boolean events = ++target.asked % EVENTS_EVERY == 0;
		String path = (events) ? "/cache/events?since=" + target.since : "/load";
		this.client.poll(target.base + path).whenCompleteAsync((response, failure) -> {
			target.waiting = false;
			if (failure == null && response.getStatusCode() == 200) {
				read(target, events, response);
			}
		}, this.thread);
	}

	private void read(Target target, boolean events, Response response) {
		try {
			JsonNode json = JSON.readTree(response.getResponseBodyAsBytes());
			if (events) {
				readEvents(target, json);
			}
			else {
				if (json.has("started_ms")) {
					this.starts.note(target.base, json.path("started_ms").asLong());
				}
				long age = TimeUnit.MILLISECONDS.toNanos(json.path("age_ms").asLong());
				this.listener.load(target.name, new LoadReport(json.path("sequence").asLong(),
						json.path("running").asInt(), json.path("queued").asInt(), age));
			}
		}
		catch (IOException | NumberFormatException ex) {
			logger.debug("report of {} cannot be read", target.name);
		}
	}

	private void readEvents(Target target, JsonNode json) {
		target.since = json.path("next").asLong(target.since);
		for (JsonNode event : json.path("events")) {
			long prefix = Long.parseUnsignedLong(event.path("prefix").asText(), 16);
			this.listener.prefix(target.name, prefix, event.path("held").asBoolean());
		}
	}

	@Override
	public void close() {
		this.thread.shutdownNow();
	}

	/** One engine, as the polling thread knows it. */
	private static final class Target {

		private final String name;

		private final String base;

		private boolean waiting;

		private long askedAt = System.nanoTime() - LEAST_INTERVAL;

		private int asked;

		private long since;

		private Target(String name, String base) {
			this.name = name;
			this.base = base;
		}

	}

	/**
	 * Gets what the engines report, on the polling thread.
	 */
	public interface Listener {

		/**
		 * An engine reported its load.
		 * @param endpoint the name of the endpoint
		 * @param report the report
		 */
		void load(String endpoint, LoadReport report);

		/**
		 * An engine reported what its cache holds.
		 * @param endpoint the name of the endpoint
		 * @param prefixHash the hash of a prefix
		 * @param held whether the cache holds it
		 */
		void prefix(String endpoint, long prefixHash, boolean held);

	}

}
