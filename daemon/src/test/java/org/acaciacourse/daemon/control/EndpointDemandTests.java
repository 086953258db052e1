package org.acaciacourse.daemon.control;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import org.acaciacourse.core.duty.DutyAnswer;
import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.core.scaling.EndpointKind;
import org.acaciacourse.core.scaling.EndpointOrder;
import org.acaciacourse.core.scaling.EndpointOrder.Subject;
import org.acaciacourse.core.scaling.PoolDemand;
import org.acaciacourse.daemon.duty.DutyOptions;
import org.acaciacourse.daemon.duty.EndpointOrderSink;
import org.acaciacourse.daemon.duty.FencedCall;
import org.acaciacourse.daemon.link.ControlLink;
import org.acaciacourse.daemon.link.ThriftControlLink;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/** The way of the demand from polls of entry VMs to orders, with real replicas. */
class EndpointDemandTests {

	private static final double RESERVE = 1.34;

	private static final int FIXED = 14;

	@TempDir
	private Path folder;

	private ControlCluster cluster;

	private final Platform platform = new Platform();

	private final List<ControlLink> links = new ArrayList<>();

	private volatile long begun = 100;

	@BeforeEach
	void start() throws Exception {
		this.cluster = new ControlCluster(this.folder, 3).fleet((i) -> this.platform::fleet)
			.duties((i) -> new DutyOptions(Optional.empty(),
					Optional.of(new DutyOptions.Orders(RESERVE, this.platform)), Duration.ofSeconds(2), 50))
			.startAll();
		Map<String, Map<String, String>> sections = new TreeMap<>();
		sections.put("routing", Map.of("number", "1"));
		sections.put("pool llm", Map.of("engine-tokens", "400000", "endpoints-min", "1", "endpoints-max", "40",
				"reclaimable-price", "0.2", "boot", "500 ms"));
		this.cluster.apply(sections);
	}

	@AfterEach
	void stop() {
		this.links.forEach(ControlLink::close);
		this.cluster.close();
	}

	private void entry(String vm) {
		ControlLink link = new ThriftControlLink(this.cluster.link(vm));
		link.start(new EntryViewTests.StatusRecorder(), List::of, (now) -> Map.of("llm",
				new PoolDemand(2_000 * this.begun, 20 * this.begun, this.begun, 0, 0, 100, 10_000)));
		this.links.add(link);
	}

	// Guards against a demand that some entry VMs tell and that does not reach the
	// orders.
	@Test
	void risingDemandOfAllEntriesIsOrderedFor() {
		for (int i = 0; i < 4; i++) {
			entry("entry-" + i);
		}
		ControlCluster.await("the replacement", () -> this.platform.reclaimable("a") >= FIXED
				&& this.platform.reclaimable("b") >= FIXED && this.platform.permanent() == 0);
		ControlCluster.await("orders that bear the loss of one",
				() -> this.platform.reclaimable("a") >= 20 && this.platform.reclaimable("b") >= 20);
		this.begun = 180;
		ControlCluster.await("more endpoints",
				() -> this.platform.reclaimable("a") >= 30 && this.platform.reclaimable("b") >= 30);
		assertThat(this.platform.reclaimable("a")).isAtMost(40);
	}

	/** A platform with two data centres, in which what is ordered serves at once. */
	private static final class Platform implements EndpointOrderSink {

		private final Map<Subject, Integer> counts = new ConcurrentHashMap<>(
				Map.of(new Subject("llm", "a", EndpointKind.PERMANENT), 10,
						new Subject("llm", "b", EndpointKind.PERMANENT), 10));

		@Override
		public CompletionStage<DutyAnswer> order(EndpointOrder order, FencedCall call) {
			this.counts.put(order.subject(), order.count());
			return CompletableFuture.completedFuture(DutyAnswer.ACCEPTED);
		}

		private Fleet fleet() {
			List<FleetEndpoint> endpoints = new ArrayList<>();
			this.counts.forEach((subject, count) -> {
				for (int i = 0; i < count; i++) {
					endpoints.add(new FleetEndpoint(subject.dataCentre() + subject.kind() + i, "llm", "10.0.0.1:1",
							subject.dataCentre(), 24, false));
				}
			});
			return Fleet.of(endpoints);
		}

		private int reclaimable(String dataCentre) {
			return this.counts.getOrDefault(new Subject("llm", dataCentre, EndpointKind.RECLAIMABLE), 0);
		}

		private int permanent() {
			return this.counts.get(new Subject("llm", "a", EndpointKind.PERMANENT))
					+ this.counts.get(new Subject("llm", "b", EndpointKind.PERMANENT));
		}

	}

}
