package org.acaciacourse.daemon.control;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import org.acaciacourse.core.consensus.Membership;
import org.acaciacourse.core.consensus.ReplicaStatus;
import org.acaciacourse.core.consensus.ReplicaStatus.Role;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class ControlMetricsTests {

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final AtomicReference<ReplicaView> view = new AtomicReference<>(inTerm(4));

	private static ReplicaView inTerm(long term) {
		return new ReplicaView(new ReplicaStatus(Role.FOLLOWER, term, Optional.empty(), 0), new Membership(List.of()),
				0, 0, "", 0, false);
	}

	private void register() {
		ControlMetrics.commitSeconds(this.registry);
		ControlMetrics.register(this.registry, this.view::get, new EntryRegistry());
	}

	@Test
	void electionsAreTheTermsSinceTheStart() {
		register();
		this.view.set(inTerm(7));
		CounterSnapshot elections = this.registry.scrape()
			.stream()
			.filter((metric) -> metric.getMetadata().getPrometheusName().equals("acaciacourse_elections"))
			.map(CounterSnapshot.class::cast)
			.findFirst()
			.orElseThrow();
		assertThat(elections.getDataPoints().get(0).getValue()).isEqualTo(3.0);
	}

	@Test
	void everyMetricIsDocumentedForOperators() throws Exception {
		register();
		String onCall = Files.readString(Path.of("..", "docs", "OPERATIONS.md"));
		this.registry.scrape().forEach((metric) -> {
			String name = metric.getMetadata().getPrometheusName();
			assertWithMessage(name).that(onCall).contains(name);
		});
	}

}
