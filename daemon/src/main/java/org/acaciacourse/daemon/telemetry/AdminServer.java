package org.acaciacourse.daemon.telemetry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BooleanSupplier;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.prometheus.metrics.exporter.httpserver.MetricsHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.acaciacourse.core.code.ResultCode;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Serves health and metrics of a daemon on a separate address, so that they remain
 * available while the number of caller connections is at its limit.
 * <p>
 * Thread safe.
 */
public final class AdminServer implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(AdminServer.class);

	private static final int THREADS = 2;

	private final HttpServer server;

	private final ExecutorService executor = Executors.newFixedThreadPool(THREADS, (task) -> {
		Thread thread = new Thread(task, "admin");
		thread.setDaemon(true);
		return thread;
	});

	private final BooleanSupplier ready;

	public AdminServer(InetSocketAddress address, PrometheusRegistry registry, BooleanSupplier ready)
			throws IOException {
		this.ready = ready;
		this.server = HttpServer.create(address, 0);
		this.server.setExecutor(this.executor);
		this.server.createContext("/metrics", new MetricsHandler(registry));
		this.server.createContext("/health/live", (exchange) -> respond(exchange, 200, "live"));
		this.server.createContext("/health/ready", this::handleReadiness);
		this.server.start();
	}

	/**
	 * Open a server, or continue without one: a VM that cannot expose its metrics still
	 * serves requests.
	 * @param address the address
	 * @param registry the metrics
	 * @param ready returns whether the daemon is ready
	 * @return the server, empty if the address cannot be bound
	 */
	public static Optional<AdminServer> open(InetSocketAddress address, PrometheusRegistry registry,
			BooleanSupplier ready) {
		try {
			return Optional.of(new AdminServer(address, registry, ready));
		}
		catch (IOException ex) {
			logger.error("{} cannot open the health and metrics server at {}", ResultCode.ADDRESS_IN_USE.number(),
					address, ex);
			return Optional.empty();
		}
	}

	/**
	 * Return the bound port.
	 * @return the port
	 */
	public int port() {
		return this.server.getAddress().getPort();
	}

	private void handleReadiness(HttpExchange exchange) throws IOException {
		boolean isReady = this.ready.getAsBoolean();
		respond(exchange, (isReady) ? 200 : 503, (isReady) ? "ready" : "not-ready");
	}

	private static void respond(HttpExchange exchange, int status, String state) throws IOException {
		byte[] body = ("{\"status\":\"" + state + "\"}").getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, body.length);
		exchange.getResponseBody().write(body);
		exchange.close();
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.executor.shutdownNow();
	}

}
