package org.acaciacourse.daemon.admin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.prometheus.metrics.expositionformats.ExpositionFormatWriter;
import io.prometheus.metrics.expositionformats.ExpositionFormats;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.daemon.http.CallerRequest;
import org.acaciacourse.daemon.http.CallerResponse;
import org.acaciacourse.daemon.http.NettyHttpServer;
import org.acaciacourse.daemon.http.RequestHandler;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Serves health and metrics of a daemon on a separate address, so that they remain
 * available while the number of caller connections is at its limit. It has an event loop
 * and limits of its own: neither slow clients nor many of them keep others out.
 * <p>
 * Thread safe.
 */
public final class AdminServer implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(AdminServer.class);

	private static final long STOP_MILLIS = 200;

	private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("admin", true),
			NioIoHandler.newFactory());

	private final NettyHttpServer server;

	/**
	 * Open a server.
	 * @param address the address
	 * @param registry the metrics
	 * @param ready returns whether the daemon is ready
	 * @throws IOException if the address cannot be bound
	 */
	public AdminServer(InetSocketAddress address, PrometheusRegistry registry, BooleanSupplier ready)
			throws IOException {
		this.server = NettyHttpServer.forProbes(address, this.loops, new Pages(registry, ready));
		try {
			this.server.start();
		}
		catch (IOException ex) {
			stopLoops();
			throw ex;
		}
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
		return this.server.port();
	}

	@Override
	public void close() {
		this.server.stopAccepting();
		this.server.close();
		stopLoops();
	}

	private void stopLoops() {
		this.loops.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS);
	}

	/** What the server shows. */
	private static final class Pages implements RequestHandler {

		private final ExpositionFormats formats = ExpositionFormats.init();

		private final PrometheusRegistry registry;

		private final BooleanSupplier ready;

		private Pages(PrometheusRegistry registry, BooleanSupplier ready) {
			this.registry = registry;
			this.ready = ready;
		}

		@Override
		public void handle(CallerRequest request, CallerResponse response) {
			switch (request.path()) {
				case "/metrics" -> sendMetrics(request, response);
				case "/health/live" -> send(response, 200, "live");
				case "/health/ready" -> {
					boolean isReady = this.ready.getAsBoolean();
					send(response, (isReady) ? 200 : 503, (isReady) ? "ready" : "not-ready");
				}
				default -> send(response, ResultCode.UNKNOWN_PATH.httpStatus(), "unknown-path");
			}
		}

		private void sendMetrics(CallerRequest request, CallerResponse response) {
			ExpositionFormatWriter writer = this.formats.findWriter(request.header("accept").orElse(null));
			ByteArrayOutputStream text = new ByteArrayOutputStream();
			try {
				writer.write(text, this.registry.scrape());
				response.send(200, Map.of("content-type", writer.getContentType()), text.toByteArray());
			}
			catch (IOException ex) {
				logger.error("cannot write the metrics", ex);
				send(response, ResultCode.INTERNAL.httpStatus(), "internal");
			}
		}

		private static void send(CallerResponse response, int status, String state) {
			byte[] body = ("{\"status\":\"" + state + "\"}").getBytes(StandardCharsets.UTF_8);
			response.send(status, Map.of("content-type", "application/json"), body);
		}

		@Override
		public void refused(ResultCode code) {
			logger.debug("request for health or metrics refused with {}", code);
		}

	}

}
