package org.acaciacourse.daemon.duty;

import java.util.Map;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.acaciacourse.core.duty.DutyAnswer;
import org.acaciacourse.daemon.telemetry.Gauges;

/**
 * Metrics of the duties of a control VM.
 * <p>
 * Thread safe.
 */
public final class DutyMetrics {

	private final Counter calls;

	private final Counter lateReports;

	private final Counter windows;

	private final Gauge neededEndpoints;

	private final Gauge plannedEndpoints;

	private volatile Usage usage = new Usage(0, 0, 0, 0);

	/**
	 * Register the metrics.
	 * @param registry the registry
	 */
	public DutyMetrics(PrometheusRegistry registry) {
		this.calls = Counter.builder()
			.name("acaciacourse_duty_calls_total")
			.help("Calls to the platform by duty and answer")
			.labelNames("duty", "answer")
			.register(registry);
		this.lateReports = Counter.builder()
			.name("acaciacourse_usage_late_reports_total")
			.help("Answers to usage reports that came after the reports were due")
			.register(registry);
		this.windows = Counter.builder()
			.name("acaciacourse_usage_windows_total")
			.help("Usage windows that this VM fixed, by whether all live entry VMs had told their counts")
			.labelNames("complete")
			.register(registry);
		this.neededEndpoints = Gauge.builder()
			.name("acaciacourse_needed_endpoints")
			.help("Highest number of endpoints that the demand for a pool needed within half a minute")
			.labelNames("pool")
			.register(registry);
		this.plannedEndpoints = Gauge.builder()
			.name("acaciacourse_planned_endpoints")
			.help("Endpoints that this VM orders by the demand, 0 if it does not order")
			.labelNames("pool", "data_centre")
			.register(registry);
		Gauges.register(registry, "acaciacourse_usage_fencing_number",
				"Fencing number with which this VM reports usage, 0 if it does not", () -> this.usage.fencingNumber());
		Gauges.register(registry, "acaciacourse_usage_fixed_window", "Latest usage window that this VM knows as fixed",
				() -> this.usage.frozenThrough());
		Gauges.register(registry, "acaciacourse_usage_reported_window",
				"Latest usage window up to which all are reported, as far as this VM knows",
				() -> this.usage.reportedThrough());
		Gauges.register(registry, "acaciacourse_usage_unreported_windows",
				"Usage windows that are fixed and not reported yet, as far as this VM knows",
				() -> this.usage.unreported());
	}

	void called(String duty, DutyAnswer answer, boolean late) {
		this.calls.labelValues(duty, answer.label()).inc();
		if (late) {
			this.lateReports.inc();
		}
	}

	void needed(String pool, double endpoints) {
		this.neededEndpoints.labelValues(pool).set(endpoints);
	}

	void planned(String pool, Map<String, Integer> endpoints) {
		endpoints.forEach((dataCentre, count) -> this.plannedEndpoints.labelValues(pool, dataCentre).set(count));
	}

	/** This VM does not order endpoints. */
	void nothingPlanned() {
		this.plannedEndpoints.clear();
	}

	void windowFixed(boolean complete) {
		this.windows.labelValues(Boolean.toString(complete)).inc();
	}

	void usage(long fencingNumber, long frozenThrough, long reportedThrough, int unreported) {
		this.usage = new Usage(fencingNumber, frozenThrough, reportedThrough, unreported);
	}

	private record Usage(long fencingNumber, long frozenThrough, long reportedThrough, int unreported) {
	}

}
