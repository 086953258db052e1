package org.acaciacourse.daemon.control;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.prometheus.metrics.exporter.httpserver.MetricsHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Health and metrics of a control VM: {@code /health/live}, {@code /health/ready} and
 * {@code /metrics}.
 * <p>
 * Thread safe.
 */
final class AdminServer implements AutoCloseable {

	private static final int BACKLOG = 16;

	private final HttpServer server;

	AdminServer(InetSocketAddress address, PrometheusRegistry metrics, BooleanSupplier ready) throws IOException {
		this.server = HttpServer.create(address, BACKLOG);
		this.server.createContext("/health/live", (exchange) -> answer(exchange, true));
		this.server.createContext("/health/ready", (exchange) -> answer(exchange, ready.getAsBoolean()));
		this.server.createContext("/metrics", new MetricsHandler(metrics));
	}

	private static void answer(HttpExchange exchange, boolean good) throws IOException {
		byte[] body = ((good) ? "ok\n" : "not ready\n").getBytes(StandardCharsets.UTF_8);
		exchange.sendResponseHeaders((good) ? 200 : 503, body.length);
		exchange.getResponseBody().write(body);
		exchange.close();
	}

	void start() {
		this.server.start();
	}

	int port() {
		return this.server.getAddress().getPort();
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

}
