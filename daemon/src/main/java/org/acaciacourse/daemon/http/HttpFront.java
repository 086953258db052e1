package org.acaciacourse.daemon.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2GoAwayFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.acaciacourse.core.settings.SettingKey;
import org.acaciacourse.core.settings.Settings;

/**
 * The callers' HTTP server.
 * <p>
 * Thread safe. Requests are handed over on the event loop of their connection.
 */
public final class HttpFront {

	private static final long TLS_CHECK_SECONDS = 2;

	private final Settings settings;

	private final HttpLimits limits;

	private final ConnectionGate gate;

	private final RequestHandler handler;

	private final EventLoopGroup acceptors = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("accept"),
			NioIoHandler.newFactory());

	private final EventLoopGroup workers;

	private Channel listener;

	public HttpFront(Settings settings, EventLoopGroup workers, RequestHandler handler) {
		this.settings = settings;
		this.limits = HttpLimits.of(settings);
		this.handler = handler;
		this.gate = new ConnectionGate(this.limits.maxConnections(), handler);
		this.workers = workers;
	}

	/**
	 * Bind and accept connections.
	 * @throws IOException if the address or the TLS files can't be used
	 */
	public void start() throws IOException {
		Optional<TlsFiles> tls = tls();
		tls.ifPresent((files) -> this.acceptors.scheduleAtFixedRate(files::reload, TLS_CHECK_SECONDS, TLS_CHECK_SECONDS,
				TimeUnit.SECONDS));
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.acceptors, this.workers)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, 1024)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_KEEPALIVE, true)
			.childHandler(new ConnectionInitializer(this.limits, this.handler, this.gate, tls));
		ChannelFuture bound = bootstrap.bind(this.settings.address(SettingKey.ENTRY_LISTEN)).awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IOException("cannot bind " + this.settings.text(SettingKey.ENTRY_LISTEN), bound.cause());
		}
		this.listener = bound.channel();
	}

	private Optional<TlsFiles> tls() throws IOException {
		Optional<String> certificate = this.settings.optionalText(SettingKey.ENTRY_TLS_CERTIFICATE);
		if (certificate.isEmpty()) {
			return Optional.empty();
		}
		return Optional
			.of(new TlsFiles(Path.of(certificate.get()), Path.of(this.settings.text(SettingKey.ENTRY_TLS_KEY))));
	}

	/**
	 * Return the bound port.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.listener.localAddress()).getPort();
	}

	/** From now on each connection is closed after the answer it waits for. */
	public void closeAfterAnswers() {
		this.gate.channels().forEach(ConnectionGate::markClosing);
	}

	/**
	 * Accept no more connections and let the open ones end: HTTP/2 gets GOAWAY, idle
	 * HTTP/1.1 connections are closed, busy ones after their answer.
	 */
	public void stopAccepting() {
		this.listener.close().awaitUninterruptibly();
		for (Channel connection : this.gate.channels()) {
			connection.eventLoop().execute(() -> letEnd(connection));
		}
	}

	private static void letEnd(Channel connection) {
		ConnectionGate.markClosing(connection);
		if (connection.pipeline().get(ConnectionInitializer.HTTP2) != null) {
			connection.writeAndFlush(new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR));
		}
		else if (!(connection.pipeline().get(ConnectionInitializer.READER) instanceof RequestReader reader)
				|| !reader.isBusy()) {
			connection.close();
		}
	}

	/**
	 * Return how many connections are open.
	 * @return the number
	 */
	public int connections() {
		return this.gate.channels().size();
	}

	/**
	 * Return whether no answer waits to be taken by its caller.
	 * @return whether all bytes that were written have left for the callers
	 */
	public boolean isIdle() {
		return this.gate.channels().stream().allMatch(HttpFront::isFlushed);
	}

	private static boolean isFlushed(Channel connection) {
		ChannelOutboundBuffer buffer = connection.unsafe().outboundBuffer();
		return buffer == null || buffer.totalPendingWriteBytes() == 0;
	}

	/**
	 * Close all connections and accept no more; the event loops are left to their owner.
	 */
	public void close() {
		this.gate.channels().forEach(Channel::close);
		this.acceptors.shutdownGracefully(0, 2, TimeUnit.SECONDS).awaitUninterruptibly();
	}

}
