package org.acaciacourse.daemon.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.vavr.control.Try;
import org.acaciacourse.core.code.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static com.google.common.truth.Truth.assertThat;

@Timeout(value = 60, unit = TimeUnit.SECONDS)
class NettyHttpServerTests {

	private static final HttpLimits LIMITS = new HttpLimits(1_000, 10, Duration.ofSeconds(20), 1_000,
			HttpLimits.ANY_NUMBER_OF_LINES, Duration.ofSeconds(20), Duration.ofSeconds(20));

	// A caller that connects while the process is still starting, for example after a
	// power failure, must not be refused: its request waits in the backlog of the
	// listening socket and is served once the server has started.
	@Test
	void requestSentBeforeTheServerStartsIsServed() throws Exception {
		EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		ServerSocketChannel listening = NettyHttpServer.open(any);
		NettyHttpServer server = new NettyHttpServer(any, () -> LIMITS, loops, new OkHandler());
		try (Socket caller = new Socket()) {
			caller.connect(listening.getLocalAddress());
			caller.getOutputStream()
				.write("GET /early HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			server.start(Optional.of(listening));
			assertThat(server.port()).isEqualTo(caller.getPort());
			String status = new BufferedReader(
					new InputStreamReader(caller.getInputStream(), StandardCharsets.US_ASCII))
				.readLine();
			assertThat(status).contains("200");
		}
		finally {
			server.close();
			loops.shutdownGracefully();
		}
	}

	/** Callers that read nothing of a complete response. */
	@Nested
	class UnreadResponses {

		private static final int MANY_BYTES = 32 * 1024 * 1024;

		private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

		private final NettyHttpServer server = new NettyHttpServer(
				new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
				() -> new HttpLimits(1_000, 1, Duration.ofSeconds(20), 1_000, HttpLimits.ANY_NUMBER_OF_LINES,
						Duration.ofSeconds(20), Duration.ofMillis(200)),
				this.loops, new LargeHandler());

		@AfterEach
		void stop() {
			this.server.close();
			this.loops.shutdownGracefully();
		}

		// Guards against connections that callers who do not read keep for good, so that
		// others get none.
		@Test
		void connectionIsResetAfterTheIdleTimeout() throws Exception {
			this.server.start();
			try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), this.server.port())) {
				caller.getOutputStream()
					.write("GET /large HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
				assertThat(caller.getInputStream().read()).isEqualTo('H');
				while (this.server.connections() > 0) {
					LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
				}
			}
		}

		/** Responds with more than the buffers of a connection take. */
		private static final class LargeHandler implements RequestHandler {

			@Override
			public void handle(CallerRequest request, CallerResponse response) {
				response.send(200, Map.of(), new byte[MANY_BYTES]);
			}

			@Override
			public void refused(ResultCode code) {
				throw new IllegalStateException("refused with " + code.number());
			}

		}

	}

	/** Connections of HTTP/2. */
	@Nested
	class Http2 {

		private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

		private final NettyHttpServer server = new NettyHttpServer(
				new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
				() -> new HttpLimits(1_000, 1, Duration.ofSeconds(20), 1_000, HttpLimits.ANY_NUMBER_OF_LINES,
						Duration.ofSeconds(20), Duration.ofMillis(200)),
				this.loops, new OkHandler());

		@AfterEach
		void stop() {
			this.server.close();
			this.loops.shutdownGracefully();
		}

		// Guards against connections without streams that are kept for good.
		@Test
		void connectionWithoutStreamsIsClosedAfterTheIdleTimeout() throws Exception {
			this.server.start();
			// The client answers pings.
			Channel caller = new Bootstrap().group(this.loops)
				.channel(NioSocketChannel.class)
				.handler(Http2FrameCodecBuilder.forClient().build())
				.connect(InetAddress.getLoopbackAddress(), this.server.port())
				.sync()
				.channel();
			caller.closeFuture().sync();
		}

	}

	/** Callers of one event loop, of which one sends as much as it can. */
	@Nested
	class Turns {

		private static final int FLOODS = 4;

		private static final int BODY_BYTES = 20_000;

		private static final HttpLimits LARGE = new HttpLimits(BODY_BYTES, 10, Duration.ofSeconds(20), 1_000,
				HttpLimits.ANY_NUMBER_OF_LINES, Duration.ofSeconds(20), Duration.ofSeconds(20));

		private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

		private final OkHandler handler = new OkHandler();

		private final NettyHttpServer server = new NettyHttpServer(
				new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), () -> LARGE, this.loops, this.handler);

		@AfterEach
		void stop() {
			this.server.close();
			this.loops.shutdownGracefully();
		}

		// The requests that the server handled before that of another caller which
		// arrived last.
		private List<String> handledBefore(String flood, String other) throws Exception {
			this.server.start();
			CountDownLatch sent = new CountDownLatch(1);
			List<Socket> floods = new ArrayList<>();
			try (Socket last = connect()) {
				ask(last, "/first");
				for (int i = 0; i < FLOODS; i++) {
					floods.add(connect());
					ask(floods.get(i), "/first");
				}
				this.loops.execute(() -> Try.run(sent::await));
				for (Socket socket : floods) {
					Thread writer = new Thread(() -> Try.run(() -> socket.getOutputStream().write(bytes(flood))));
					writer.setDaemon(true);
					writer.start();
					writer.join(TimeUnit.SECONDS.toMillis(1));
				}
				last.getOutputStream().write(bytes("GET " + other + " HTTP/1.1\r\nHost: h\r\n\r\n"));
				sent.countDown();
				assertThat(readStatus(last)).contains("200");
			}
			finally {
				for (Socket socket : floods) {
					socket.close();
				}
			}
			return this.handler.targets.subList(1 + FLOODS, this.handler.targets.indexOf(other));
		}

		private Socket connect() throws IOException {
			return new Socket(InetAddress.getLoopbackAddress(), this.server.port());
		}

		private static void ask(Socket socket, String target) throws IOException {
			socket.getOutputStream().write(bytes("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n"));
			assertThat(readStatus(socket)).contains("200");
		}

		private static String readStatus(Socket socket) throws IOException {
			StringBuilder text = new StringBuilder();
			while (!text.toString().endsWith("\r\n\r\n")) {
				text.append((char) socket.getInputStream().read());
			}
			return text.toString();
		}

		private static byte[] bytes(String text) {
			return text.getBytes(StandardCharsets.US_ASCII);
		}

		// Guards against a caller that sends many requests at once and keeps the event
		// loop from the others until all of them are handled.
		@Test
		void requestIsHandledAmongThoseOfAnotherCaller() throws Exception {
			assertThat(handledBefore("GET /flood HTTP/1.1\r\nHost: h\r\n\r\n".repeat(3_000), "/other").size())
				.isAtMost(10 * FLOODS);
		}

		// Guards against a caller whose body of many small chunks is read to its end
		// before others are.
		@Test
		void requestIsHandledWithinTheChunksOfAnotherCaller() throws Exception {
			String flood = "POST /flood HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
					+ "1\r\nx\r\n".repeat(BODY_BYTES) + "0\r\n\r\n";
			assertThat(handledBefore(flood, "/other")).isEmpty();
		}

	}

	/** Responds to every request with status 200. */
	private static final class OkHandler implements RequestHandler {

		private final List<String> targets = new CopyOnWriteArrayList<>();

		@Override
		public void handle(CallerRequest request, CallerResponse response) {
			this.targets.add(request.target());
			response.send(200, Map.of(), new byte[0]);
		}

		@Override
		public void refused(ResultCode code) {
			throw new IllegalStateException("refused with " + code.number());
		}

	}

}
