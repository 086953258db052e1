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
import java.util.concurrent.CopyOnWriteArrayList;

import org.acaciacourse.core.duty.DutyAnswer;
import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.core.scaling.EndpointKind;
import org.acaciacourse.core.scaling.EndpointOrder;
import org.acaciacourse.daemon.duty.DutyOptions;
import org.acaciacourse.daemon.duty.EndpointOrderSink;
import org.acaciacourse.daemon.duty.FencedCall;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/**
 * Orders of endpoints from a configuration and a list through real replicas to a stand-in
 * platform, whose endpoints serve at once.
 */
class EndpointOrderDutyTests {

	@TempDir
	private Path folder;

	private ControlCluster cluster;

	private final Map<EndpointOrder.Subject, Integer> ordered = new ConcurrentHashMap<>();

	private final List<FencedCall> calls = new CopyOnWriteArrayList<>();

	@BeforeEach
	void start() throws Exception {
		this.ordered.put(subject(EndpointKind.PERMANENT), 6);
		this.cluster = new ControlCluster(this.folder, 3).fleet((i) -> this::list)
			.duties((i) -> new DutyOptions(Optional.empty(), Optional.of(new DutyOptions.Orders(1.34, new Platform())),
					Duration.ofSeconds(2), 50))
			.startAll();
	}

	@AfterEach
	void stop() {
		this.cluster.close();
	}

	private static EndpointOrder.Subject subject(EndpointKind kind) {
		return new EndpointOrder.Subject("llm", "accra-a", kind);
	}

	private int count(EndpointKind kind) {
		return this.ordered.getOrDefault(subject(kind), 0);
	}

	private Fleet list() {
		List<FleetEndpoint> endpoints = new ArrayList<>();
		for (EndpointKind kind : EndpointKind.values()) {
			for (int i = 0; i < count(kind); i++) {
				endpoints.add(new FleetEndpoint(kind.label() + i, "llm", "127.0.0.1:1", "accra-a", 4, false));
			}
		}
		return Fleet.of(endpoints);
	}

	private void configure(Map<String, String> pool) throws Exception {
		Map<String, Map<String, String>> sections = new TreeMap<>();
		sections.put("routing", Map.of("number", "1"));
		sections.put("pool llm", pool);
		this.cluster.apply(sections);
	}

	private void awaitReplaced() {
		ControlCluster.await("reclaimable endpoints alone",
				() -> count(EndpointKind.PERMANENT) == 0 && count(EndpointKind.RECLAIMABLE) == 9);
	}

	@Test
	void permanentEndpointsAreReplaced() throws Exception {
		configure(Map.of("endpoints-min", "1", "endpoints-max", "12", "reclaimable-price", "0.18", "boot", "100 ms"));
		awaitReplaced();
		assertThat(this.calls.stream().map(FencedCall::fencingNumber).distinct().toList()).hasSize(1);
	}

	// Guards against a next holder that takes the reclaimable endpoints for the
	// provision.
	@Test
	void nextLeaderOrdersTheSame() throws Exception {
		configure(Map.of("endpoints-max", "12", "reclaimable-price", "0.18", "boot", "100 ms"));
		awaitReplaced();
		int before = this.calls.size();
		this.cluster.stop(this.cluster.leader());
		ControlCluster.await("orders of the next holder", () -> this.calls.size() >= before + 2);
		awaitReplaced();
		assertThat(this.calls.stream().map(FencedCall::fencingNumber).distinct().toList()).isInOrder();
	}

	/** Carries orders out at once. */
	private final class Platform implements EndpointOrderSink {

		@Override
		public CompletionStage<DutyAnswer> order(EndpointOrder order, FencedCall call) {
			if (!call.maySend().getAsBoolean()) {
				return CompletableFuture.completedFuture(DutyAnswer.NOT_SENT);
			}
			EndpointOrderDutyTests.this.calls.add(call);
			EndpointOrderDutyTests.this.ordered.put(order.subject(), order.count());
			return CompletableFuture.completedFuture(DutyAnswer.ACCEPTED);
		}

	}

}
