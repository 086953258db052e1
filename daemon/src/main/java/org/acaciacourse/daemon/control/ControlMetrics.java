package org.acaciacourse.daemon.control;

import java.util.function.DoubleConsumer;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.acaciacourse.core.consensus.ReplicaStatus.Role;
import org.acaciacourse.daemon.telemetry.Gauges;
import org.acaciacourse.daemon.telemetry.ProcessMetrics;

/**
 * Metrics of a control VM, read from the latest view of the replica.
 * <p>
 * Thread safe: it has no state.
 */
final class ControlMetrics {

	private ControlMetrics() {
	}

	/**
	 * Register the histogram of commit times.
	 * @param registry the registry
	 * @return the consumer of the seconds from a proposal to its result, called for
	 * committed proposals only
	 */
	static DoubleConsumer commitSeconds(PrometheusRegistry registry) {
		Histogram seconds = Histogram.builder()
			.name("acaciacourse_commit_seconds")
			.help("Time from a proposal to its commit")
			.classicOnly()
			.classicUpperBounds(0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)
			.register(registry);
		return seconds::observe;
	}

	static void register(PrometheusRegistry registry, Supplier<ReplicaView> view, EntryRegistry entries) {
		ProcessMetrics.register(registry);
		long firstTerm = view.get().status().term();
		CounterWithCallback.builder()
			.name("acaciacourse_elections_total")
			.help("Terms that the replica saw begin")
			.callback((callback) -> callback.call(view.get().status().term() - firstTerm))
			.register(registry);
		gauge(registry, "acaciacourse_configuration_number", "Number of the manifest in force", view,
				ReplicaView::number);
		gauge(registry, "acaciacourse_replica_term", "Term of the replica", view, (p) -> p.status().term());
		gauge(registry, "acaciacourse_replica_commit_index", "Last committed entry", view,
				(p) -> p.status().commitIndex());
		gauge(registry, "acaciacourse_replica_applied_index", "Last applied entry", view, ReplicaView::appliedIndex);
		gauge(registry, "acaciacourse_replica_leader", "1 if the replica leads", view,
				(p) -> (p.status().role() == Role.LEADER) ? 1 : 0);
		gauge(registry, "acaciacourse_replica_voters", "Voters of the membership in force", view,
				(p) -> p.membership().voters().size());
		Gauges.register(registry, "acaciacourse_entries_live", "Live entry VMs",
				() -> entries.liveEntries(System.currentTimeMillis()).size());
	}

	private static void gauge(PrometheusRegistry registry, String name, String help, Supplier<ReplicaView> view,
			ToDoubleFunction<ReplicaView> value) {
		Gauges.register(registry, name, help, () -> value.applyAsDouble(view.get()));
	}

}
