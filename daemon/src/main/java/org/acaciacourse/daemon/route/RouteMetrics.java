package org.acaciacourse.daemon.route;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.acaciacourse.core.admission.AdmissionReason;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.route.Route;
import org.acaciacourse.core.scaling.DemandCounter;
import org.acaciacourse.daemon.link.UsageMeter;
import org.acaciacourse.daemon.telemetry.Gauges;
import org.acaciacourse.daemon.telemetry.ProcessMetrics;

/**
 * Counters and latency histograms of routed requests. The label values are bounded:
 * result codes, pools, kinds of requests, and priorities.
 * <p>
 * Thread safe.
 */
final class RouteMetrics {

	private static final double[] SECONDS_BOUNDS = { 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8 };

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter requests = Counter.builder()
		.name("acaciacourse_routed_requests_total")
		.help("Routed requests by result code, pool, kind and priority")
		.labelNames("code", "pool", "kind", "priority")
		.register(this.registry);

	private final Counter attempts = Counter.builder()
		.name("acaciacourse_routed_attempts_total")
		.help("Attempts at endpoints")
		.labelNames("end")
		.register(this.registry);

	private final Counter retries = Counter.builder()
		.name("acaciacourse_pool_retries_total")
		.help("Requests that were sent once more and counted against the retry budget")
		.labelNames("pool")
		.register(this.registry);

	private final Counter admissions = Counter.builder()
		.name("acaciacourse_pool_admissions_total")
		.help("Decisions on requests where admission is in use, by what decided them")
		.labelNames("pool", "reason")
		.register(this.registry);

	private final Counter overShare = Counter.builder()
		.name("acaciacourse_pool_over_share_requests_total")
		.help("Requests that went behind others as their customer was over its share of the pool")
		.labelNames("pool")
		.register(this.registry);

	private final Counter unmatchedResponses = Counter.builder()
		.name("acaciacourse_unmatched_responses_total")
		.help("Responses that bear another id than the request that waited on their connection")
		.labelNames("action")
		.register(this.registry);

	private final Histogram retryTransit = Histogram.builder()
		.name("acaciacourse_pool_retry_transit_seconds")
		.help("Time from sending a retry to the first sign that its endpoint received it")
		.labelNames("pool")
		.classicOnly()
		.classicUpperBounds(SECONDS_BOUNDS)
		.register(this.registry);

	private final Counter resumedStreams = Counter.builder()
		.name("acaciacourse_resumed_streams_total")
		.help("Streams that were sent on after their first event, by the version of the endpoint that began them")
		.labelNames("version")
		.register(this.registry);

	private final Histogram loopStalls = Histogram.builder()
		.name("acaciacourse_loop_stall_seconds")
		.help("Times for which the event loop did not run")
		.classicOnly()
		.classicUpperBounds(SECONDS_BOUNDS)
		.register(this.registry);

	private final Histogram responseStart = secondsHistogram("first_answer",
			"Time from a request to the first part of its answer");

	private final Histogram queueTime = secondsHistogram("queue", "Time that a request waited for an endpoint");

	private final Histogram longestGap = secondsHistogram("longest_gap",
			"Longest time between two events of an answer");

	private final DemandCounter demand = new DemandCounter();

	private final RouteGauges gauges = new RouteGauges(this.registry);

	private final Map<String, CounterDataPoint> dataPoints = new ConcurrentHashMap<>();

	RouteMetrics() {
		ProcessMetrics.register(this.registry);
	}

	private Histogram secondsHistogram(String name, String help) {
		return Histogram.builder()
			.name("acaciacourse_routed_" + name + "_seconds")
			.help(help)
			.labelNames("kind")
			.classicOnly()
			.classicUpperBounds(SECONDS_BOUNDS)
			.register(this.registry);
	}

	PrometheusRegistry registry() {
		return this.registry;
	}

	/**
	 * Return what counts the demand that this VM tells control.
	 * @return the counter
	 */
	DemandCounter demand() {
		return this.demand;
	}

	RouteGauges gauges() {
		return this.gauges;
	}

	void requestEnded(Route route, String pool, ResultCode code) {
		String key = code.number() + " " + pool + " " + route.kind().label() + " " + route.priority();
		this.dataPoints
			.computeIfAbsent(key, (k) -> this.requests.labelValues(Integer.toString(code.number()), pool,
					route.kind().label(), Integer.toString(route.priority())))
			.inc();
	}

	void requestRefused(ResultCode code) {
		this.dataPoints
			.computeIfAbsent(Integer.toString(code.number()),
					(k) -> this.requests.labelValues(Integer.toString(code.number()), "none", "none", "none"))
			.inc();
	}

	void attemptEnded(String end) {
		this.dataPoints.computeIfAbsent(end, this.attempts::labelValues).inc();
	}

	/**
	 * A response came that bears another id than the request that waited for it.
	 * @param discarded whether the response to the request is still waited for; otherwise
	 * the connection was closed
	 */
	void unmatchedResponse(boolean discarded) {
		this.unmatchedResponses.labelValues((discarded) ? "discarded" : "connection-closed").inc();
	}

	void retried(String pool) {
		this.retries.labelValues(pool).inc();
	}

	void admissionDecided(String pool, AdmissionReason reason) {
		this.admissions.labelValues(pool, reason.label()).inc();
	}

	void overShare(String pool) {
		this.overShare.labelValues(pool).inc();
	}

	void retryReceived(String pool, long nanos) {
		this.retryTransit.labelValues(pool).observe(nanos / 1e9);
	}

	/**
	 * A stream is sent on after its first event.
	 * @param version whether its endpoint has the same version as the one that began it,
	 * another one, or an unknown one
	 */
	void streamResumed(String version) {
		this.resumedStreams.labelValues(version).inc();
	}

	void loopStalled(long millis) {
		this.loopStalls.observe(millis / 1e3);
	}

	void responseStarted(Route route, long nanos) {
		this.responseStart.labelValues(route.kind().label()).observe(nanos / 1e9);
	}

	void requestPlaced(Route route, long nanos) {
		this.queueTime.labelValues(route.kind().label()).observe(nanos / 1e9);
	}

	void longestGap(Route route, long nanos) {
		this.longestGap.labelValues(route.kind().label()).observe(nanos / 1e9);
	}

	/**
	 * Register the metrics of the usage of customers.
	 * @param usage counts it
	 */
	void registerUsage(UsageMeter usage) {
		Gauges.register(this.registry, "acaciacourse_usage_requests",
				"Requests that endpoints began and that were counted as usage since the start", usage::requests);
		Gauges.register(this.registry, "acaciacourse_usage_late_requests",
				"Of these, requests in a window whose report was fixed before they were counted", usage::lateRequests);
	}

}
