package org.acaciacourse.daemon.memory;

import java.util.EnumMap;
import java.util.Map;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.acaciacourse.core.memory.MemoryBudget;
import org.acaciacourse.core.memory.MemoryUse;
import org.acaciacourse.core.memory.UnreadResponses;
import org.acaciacourse.daemon.telemetry.Gauges;

/**
 * Metrics of the memory budget of an entry VM. The event loop publishes the gauges once a
 * second, so that a reader of the metrics neither waits for the loop nor blocks it.
 * <p>
 * Thread safe.
 */
public final class MemoryMetrics {

	private final Counter pauses;

	private final Counter ends;

	private volatile Snapshot latest = new Snapshot(0, Map.of(), 0, 0);

	/**
	 * Register the metrics.
	 * @param registry the registry of the VM
	 */
	public MemoryMetrics(PrometheusRegistry registry) {
		this.pauses = Counter.builder()
			.name("acaciacourse_endpoint_reading_pauses_total")
			.help("Pauses of reading from an endpoint as the caller does not read and the memory budget is used up")
			.register(registry);
		this.ends = Counter.builder()
			.name("acaciacourse_unread_responses_ended_total")
			.help("Responses that were ended as their callers did not read them")
			.labelNames("reason")
			.register(registry);
		Gauges.register(registry, "acaciacourse_memory_budget_bytes", "Bytes of the memory budget",
				() -> this.latest.limit());
		Gauges.register(registry, "acaciacourse_unread_responses", "Responses of which bytes wait for their caller",
				() -> this.latest.waiting());
		Gauges.register(registry, "acaciacourse_unread_responses_paused",
				"Of these, responses whose endpoint is not read", () -> this.latest.paused());
		GaugeWithCallback.builder()
			.name("acaciacourse_memory_used_bytes")
			.help("Bytes of the memory budget that are taken")
			.labelNames("use")
			.callback((callback) -> this.latest.used().forEach((use, bytes) -> callback.call(bytes, use.label())))
			.register(registry);
	}

	void paused() {
		this.pauses.inc();
	}

	void ended(UnreadResponses.Reason reason) {
		this.ends.labelValues(reason.label()).inc();
	}

	void publish(MemoryBudget budget, int waiting, int paused) {
		Map<MemoryUse, Long> used = new EnumMap<>(MemoryUse.class);
		for (MemoryUse use : MemoryUse.values()) {
			used.put(use, budget.used(use));
		}
		this.latest = new Snapshot(budget.limit(), used, waiting, paused);
	}

	/**
	 * The values at one point in time.
	 *
	 * @param limit the bytes of the budget
	 * @param used the bytes that are taken, by their use
	 * @param waiting the responses of which bytes wait
	 * @param paused those of them whose endpoint is not read
	 */
	private record Snapshot(long limit, Map<MemoryUse, Long> used, int waiting, int paused) {
	}

}
