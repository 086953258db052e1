package org.acaciacourse.daemon.http;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.acaciacourse.core.code.ResultCode;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class NettyHttpServerTests {

	private static final HttpLimits LIMITS = new HttpLimits(1_000, 10, Duration.ofSeconds(20), 1_000,
			HttpLimits.ANY_NUMBER_OF_LINES, Duration.ofSeconds(20));

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

	/** Responds to every request with status 200. */
	private static final class OkHandler implements RequestHandler {

		@Override
		public void handle(CallerRequest request, CallerResponse response) {
			response.send(200, Map.of(), new byte[0]);
		}

		@Override
		public void refused(ResultCode code) {
			throw new IllegalStateException("refused with " + code.number());
		}

	}

}
