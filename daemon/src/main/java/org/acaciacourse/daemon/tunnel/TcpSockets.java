package org.acaciacourse.daemon.tunnel;

import java.net.ConnectException;
import java.util.HashMap;
import java.util.Map;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import jdk.net.ExtendedSocketOptions;

/**
 * The options of the TCP connections between entry VMs and to endpoints.
 * <p>
 * Thread safe: it has no state that changes.
 */
public final class TcpSockets {

	/** With three probes a second apart, a dead peer is detected within four seconds. */
	private static final int KEEPALIVE_SECONDS = 1;

	private static final int KEEPALIVE_PROBES = 3;

	private static final Map<ChannelOption<Object>, Object> OPTIONS = new HashMap<>();

	static {
		put(ChannelOption.TCP_NODELAY, true);
		put(ChannelOption.SO_KEEPALIVE, true);
		put(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_SECONDS);
		put(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_SECONDS);
		put(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES);
	}

	private TcpSockets() {
	}

	@SuppressWarnings("unchecked")
	private static <T> void put(ChannelOption<T> option, T value) {
		OPTIONS.put((ChannelOption<Object>) option, value);
	}

	/**
	 * Prepare a connection.
	 * @param loop its event loop
	 * @param connectTimeoutMillis how long it may take to be established, in milliseconds
	 * @return a bootstrap without a handler
	 */
	public static Bootstrap bootstrap(EventLoop loop, int connectTimeoutMillis) {
		Bootstrap bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis);
		OPTIONS.forEach((option, value) -> bootstrap.option(option, value));
		return bootstrap;
	}

	/**
	 * Prepare a connection to an endpoint. Its input ends with an event of its own if the
	 * endpoint closed the connection in order; a connection that just becomes inactive
	 * was reset, or closed by this process, for example after a failed write.
	 * @param loop its event loop
	 * @param connectTimeoutMillis how long it may take to be established, in milliseconds
	 * @return a bootstrap without a handler, whose handlers have to close the connection
	 * at the end of its input
	 */
	public static Bootstrap endpointBootstrap(EventLoop loop, int connectTimeoutMillis) {
		return bootstrap(loop, connectTimeoutMillis).option(ChannelOption.ALLOW_HALF_CLOSURE, true);
	}

	/**
	 * Return whether a connection was refused, as no process listens. A timeout may also
	 * be due to a lost packet. Netty's exception for timeouts extends ConnectException.
	 * @param failure why there is no connection
	 * @return whether it was refused
	 */
	public static boolean isRefused(Throwable failure) {
		return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
	}

	static void apply(ServerBootstrap bootstrap) {
		OPTIONS.forEach((option, value) -> bootstrap.childOption(option, value));
	}

}
