package org.acaciacourse.daemon.order;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.manifest.ManifestDocument;
import org.acaciacourse.core.manifest.ManifestParser;
import org.acaciacourse.core.model.Manifest;
import org.acaciacourse.core.order.EngineOrder;
import org.acaciacourse.core.order.OrderTiming;
import org.acaciacourse.core.state.CommandResult.LeaseResult;
import org.acaciacourse.daemon.lease.LeaseCalls;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link OrderWriterLoop}.
 */
class OrderWriterLoopTests {

	private static final OrderTiming TIMING = new OrderTiming(Duration.ofMillis(100).toNanos(),
			Duration.ofMillis(100).toNanos(), 0);

	private final BlockingQueue<String> orders = new LinkedBlockingQueue<>();

	private final FakeLease lease = new FakeLease();

	private HttpServer engine;

	private volatile String loaded = "\"old\"";

	@BeforeEach
	void startEngine() throws IOException {
		this.engine = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		this.engine.createContext("/orders", this::respond);
		this.engine.start();
	}

	@AfterEach
	void stopEngine() {
		this.engine.stop(0);
	}

	private void respond(HttpExchange exchange) throws IOException {
		byte[] body = exchange.getRequestBody().readAllBytes();
		String response = "{}";
		if (exchange.getRequestMethod().equals("POST")) {
			String order = new String(body, StandardCharsets.UTF_8);
			if (order.contains("\"load\"")) {
				this.loaded = this.loaded + ",\"new\"";
			}
			else if (order.contains("\"unload\"")) {
				this.loaded = this.loaded.replace("\"old\",", "").replace("\"old\"", "\"x\"");
			}
			this.orders.add(order);
		}
		else {
			response = "{\"fencing\":0,\"loaded\":[" + this.loaded + "],\"role\":\"serve\"}";
		}
		byte[] bytes = response.getBytes(StandardCharsets.UTF_8);
		exchange.sendResponseHeaders(200, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	private Manifest manifest() {
		ManifestDocument document = new ManifestDocument(Map.of("manifest", Map.of("number", "1", "policy", "p"),
				"policy p", Map.of("kind", "fifo"), "endpoint-set s", Map.of("kind", "model", "models", "new"),
				"endpoint e", Map.of("set", "s", "address", "http://127.0.0.1:" + this.engine.getAddress().getPort(),
						"data-centre", "a")));
		return ManifestParser.manifest(document).get();
	}

	private OrderWriterLoop startLoop() {
		OrderWriterLoop loop = new OrderWriterLoop("control-1", this.lease, () -> Optional.of(manifest()), TIMING);
		loop.start();
		return loop;
	}

	@Nested
	class Held {

		@Test
		void engineIsBroughtToTheDesiredState() throws Exception {
			try (OrderWriterLoop loop = startLoop()) {
				Set<String> seen = Set.of(OrderWriterLoopTests.this.orders.poll(30, TimeUnit.SECONDS),
						OrderWriterLoopTests.this.orders.poll(30, TimeUnit.SECONDS));
				assertThat(seen).containsExactly("{\"fencing\":7,\"order\":\"unload\",\"subject\":\"old\"}",
						"{\"fencing\":7,\"order\":\"load\",\"subject\":\"new\"}");
			}
			assertThat(OrderWriterLoopTests.this.lease.released).isEqualTo(7);
		}

	}

	@Nested
	class NotHeld {

		// The writer was paused, or its connection took long to open, and another holder
		// has the lease by then. On an engine that ignores fencing numbers, the order
		// would undo the other holder's work. The lease is checked once the connection is
		// open, so that no byte is sent.
		@Test
		void orderIsNotSentAfterTheLeaseIsLost() {
			try (EngineOrderClient client = new EngineOrderClient()) {
				String base = "http://127.0.0.1:" + OrderWriterLoopTests.this.engine.getAddress().getPort();
				EngineOrder order = new EngineOrder("e", 7, EngineOrder.Kind.LOAD, "new");
				CompletableFuture<Boolean> sent = client.send(base, order, Duration.ofSeconds(20), () -> false)
					.toCompletableFuture();
				assertThat(sent.handle((done, failure) -> failure).orTimeout(30, TimeUnit.SECONDS).join()).isNotNull();
				assertThat(OrderWriterLoopTests.this.orders).isEmpty();
			}
		}

	}

	/** Grants the lease on every request, with fencing number 7. */
	private static final class FakeLease implements LeaseCalls {

		private volatile long released;

		@Override
		public boolean isCandidate() {
			return true;
		}

		@Override
		public CompletionStage<LeaseResult> acquire(String holder, long durationMillis) {
			return CompletableFuture.completedStage(new LeaseResult(ResultCode.OK, holder, 7, durationMillis));
		}

		@Override
		public CompletionStage<Long> release(String holder, long fencingNumber) {
			this.released = fencingNumber;
			return CompletableFuture.completedStage(fencingNumber);
		}

	}

}
