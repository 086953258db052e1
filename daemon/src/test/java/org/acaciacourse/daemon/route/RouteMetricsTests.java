package org.acaciacourse.daemon.route;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import org.acaciacourse.core.admission.AdmissionReason;
import org.acaciacourse.core.balance.RoutingMechanism;
import org.acaciacourse.core.balance.RoutingPolicy;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.route.PoolShare;
import org.acaciacourse.core.route.RequestKind;
import org.acaciacourse.core.route.Route;
import org.acaciacourse.core.speed.PoolSpeeds;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class RouteMetricsTests {

	private static final Route ROUTE = new Route("r", "h", "/", RequestKind.STREAM, false, Duration.ofSeconds(1),
			Duration.ofMillis(100), Duration.ZERO, 2, List.of(new PoolShare("engines", 1)), 1, false, false);

	private final RouteMetrics metrics = new RouteMetrics();

	private String page() throws IOException {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		PrometheusTextFormatWriter.builder().build().write(out, this.metrics.registry().scrape());
		return out.toString(StandardCharsets.UTF_8);
	}

	@Test
	void endsAreCountedByCodePoolKindAndPriority() throws IOException {
		this.metrics.requestEnded(ROUTE, "engines", ResultCode.OK);
		this.metrics.requestEnded(ROUTE, "engines", ResultCode.OK);
		this.metrics.requestRefused(ResultCode.NOT_READY);
		assertThat(page()).contains(
				"acaciacourse_routed_requests_total{code=\"0\",kind=\"stream\",pool=\"engines\",priority=\"2\"} 2.0");
		assertThat(page()).contains("code=\"" + ResultCode.NOT_READY.number() + "\",kind=\"none\"");
	}

	@Test
	void unmatchedResponsesAreCountedByWhatWasDone() throws IOException {
		this.metrics.unmatchedResponse(true);
		this.metrics.unmatchedResponse(false);
		assertThat(page()).contains("acaciacourse_unmatched_responses_total{action=\"connection-closed\"} 1.0");
		assertThat(page()).contains("acaciacourse_unmatched_responses_total{action=\"discarded\"} 1.0");
	}

	@Test
	void retriesAreCountedByPool() throws IOException {
		this.metrics.retried("engines");
		assertThat(page()).contains("acaciacourse_pool_retries_total{pool=\"engines\"} 1.0");
	}

	@Test
	void admissionsAreCountedByPoolAndReason() throws IOException {
		this.metrics.admissionDecided("engines", AdmissionReason.TOO_LATE);
		assertThat(page()).contains("acaciacourse_pool_admissions_total{pool=\"engines\",reason=\"too-late\"} 1.0");
	}

	@Test
	void snapshotIsExposedAsGauges() throws IOException {
		this.metrics.gauges()
			.publish(new RouteGauges.Snapshot(3, 5, 7, 9, 8, 12, 1.5, 6,
					Map.of("engines", new RouteGauges.Pool(2, 4, 6.5, new PoolSpeeds.Range(true, 0.45, 1.1), false)),
					new RoutingPolicy("p", Set.of(RoutingMechanism.PAUSES), Map.of())));
		String page = page();
		assertThat(page).contains("acaciacourse_routed_open_requests 3.0");
		assertThat(page).contains("acaciacourse_configuration_number 12.0");
		assertThat(page).contains("acaciacourse_retry_sharers 6.0");
		assertThat(page).contains("acaciacourse_endpoint_links_lost 9.0");
		assertThat(page).contains("acaciacourse_tunnels_open 8.0");
		assertThat(page).contains("acaciacourse_pool_waiting_requests{pool=\"engines\"} 2.0");
		assertThat(page).contains("acaciacourse_pool_retries_left{pool=\"engines\"} 6.5");
		assertThat(page).contains("acaciacourse_pool_speeds_in_use{pool=\"engines\"} 1.0");
		assertThat(page).contains("acaciacourse_pool_speed_lowest{pool=\"engines\"} 0.45");
		assertThat(page).contains("acaciacourse_pool_speed_highest{pool=\"engines\"} 1.1");
	}

	@Test
	void processMetricsAreExposed() throws IOException {
		assertThat(page()).contains("jvm_memory_used_bytes{area=\"heap\"}");
		assertThat(page()).contains("acaciacourse_log_lines_dropped_total 0.0");
	}

	@Test
	void everyMetricIsDocumented() throws IOException {
		String operations = Files.readString(Path.of("..", "docs", "OPERATIONS.md"));
		this.metrics.registry().scrape().forEach((metric) -> {
			String name = metric.getMetadata().getPrometheusName();
			assertWithMessage(name).that(operations).contains(name);
		});
	}

}
