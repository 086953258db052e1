package org.acaciacourse.daemon.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
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
import org.acaciacourse.core.memory.MemoryBudget;
import org.acaciacourse.core.settings.SettingKey;
import org.acaciacourse.core.settings.Settings;

/**
 * The HTTP server for callers.
 * <p>
 * Thread safe. Requests are handled on the event loop of their connection.
 */
public final class NettyHttpServer {

	private static final long TLS_CHECK_SECONDS = 2;

	/** Accept backlog: holds the connections that arrive within a second at peak load. */
	private static final int BACKLOG = 1024;

	/**
	 * The most that is read from a connection in a turn of the event loop. It bounds the
	 * work of a turn, as a caller can make many objects of a few bytes each.
	 */
	private static final int MAX_READ_BYTES = 8 * 1024;

	private static final int FIRST_READ_BYTES = 2 * 1024;

	private static final int MIN_READ_BYTES = 64;

	/** The memory for the requests of probes. */
	private static final long PROBES_BYTES = 1024 * 1024;

	/** What the system may hold of a caller's input while the connection is not read. */
	private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

	private final InetSocketAddress address;

	private final Optional<Settings> tlsSettings;

	private final Supplier<HttpLimits> limits;

	private final ConnectionLimiter limiter;

	private final RequestHandler handler;

	private final EventLoopGroup acceptors;

	private final EventLoopGroup workers;

	private OptionalInt sendBuffer = OptionalInt.empty();

	private MemoryBudget budget = RequestMemory.ofProcess();

	private Channel listener;

	/**
	 * Create the server of an entry VM.
	 * @param settings the settings, with the address and the TLS files
	 * @param workers the event loops of the connections
	 * @param handler handles the requests
	 */
	public NettyHttpServer(Settings settings, EventLoopGroup workers, RequestHandler handler) {
		this(settings.address(SettingKey.ENTRY_LISTEN), fixed(HttpLimits.of(settings)), Optional.of(settings), workers,
				new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("accept"), NioIoHandler.newFactory()),
				handler);
	}

	/**
	 * Create a server without TLS that accepts connections on the event loops that also
	 * serve them.
	 * @param address the address to listen on
	 * @param limits supplies the limits for each new connection
	 * @param workers the event loops, which the owner shuts down
	 * @param handler handles the requests
	 */
	public NettyHttpServer(InetSocketAddress address, Supplier<HttpLimits> limits, EventLoopGroup workers,
			RequestHandler handler) {
		this(address, limits, Optional.empty(), workers, workers, handler);
	}

	/**
	 * Create a server for those who watch this VM: few clients, small requests, and a
	 * small budget of its own.
	 * @param address the address to listen on
	 * @param workers the event loops, which the owner shuts down
	 * @param handler handles the requests
	 * @return the server
	 */
	public static NettyHttpServer forProbes(InetSocketAddress address, EventLoopGroup workers, RequestHandler handler) {
		NettyHttpServer server = new NettyHttpServer(address, fixed(HttpLimits.PROBES), workers, handler);
		server.boundRequests(new MemoryBudget(PROBES_BYTES));
		return server;
	}

	/**
	 * Open a listening socket before the server exists: callers that connect during
	 * start-up wait in its backlog instead of being refused.
	 * @param address the address to listen on
	 * @return the listening socket
	 * @throws IOException if the address can't be used
	 */
	public static ServerSocketChannel open(InetSocketAddress address) throws IOException {
		ServerSocketChannel socket = ServerSocketChannel.open();
		socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
		socket.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
		socket.bind(address, BACKLOG);
		return socket;
	}

	private NettyHttpServer(InetSocketAddress address, Supplier<HttpLimits> limits, Optional<Settings> tlsSettings,
			EventLoopGroup workers, EventLoopGroup acceptors, RequestHandler handler) {
		this.address = address;
		this.limits = limits;
		this.tlsSettings = tlsSettings;
		this.handler = handler;
		this.limiter = new ConnectionLimiter(limits.get().maxConnections(), handler);
		this.workers = workers;
		this.acceptors = acceptors;
	}

	private static Supplier<HttpLimits> fixed(HttpLimits limits) {
		return () -> limits;
	}

	private Optional<ReloadableTlsContext> tlsContext() throws IOException {
		Optional<String> certificate = this.tlsSettings
			.flatMap((settings) -> settings.optionalText(SettingKey.ENTRY_TLS_CERTIFICATE));
		if (certificate.isEmpty()) {
			return Optional.empty();
		}
		String key = this.tlsSettings.get().text(SettingKey.ENTRY_TLS_KEY);
		return Optional.of(new ReloadableTlsContext(Path.of(certificate.get()), Path.of(key)));
	}

	/**
	 * Set the budget that the requests draw on; called before the start. Without it, they
	 * have a part of the memory of the process to themselves.
	 * @param shared the budget
	 */
	public void boundRequests(MemoryBudget shared) {
		this.budget = shared;
	}

	/**
	 * Bound what the system holds of responses for each caller; called before the start.
	 * @param bytes the size of the send buffer of a connection
	 */
	public void boundSendBuffers(int bytes) {
		this.sendBuffer = OptionalInt.of(bytes);
	}

	/**
	 * Bind and accept connections.
	 * @throws IOException if the address or the TLS files can't be used
	 */
	public void start() throws IOException {
		start(Optional.empty());
	}

	/**
	 * Accept connections on a given socket.
	 * @param socket a socket that is already listening; if empty, one is bound
	 * @throws IOException if the address or the TLS files can't be used
	 */
	public void start(Optional<ServerSocketChannel> socket) throws IOException {
		Optional<ReloadableTlsContext> tls = tlsContext();
		tls.ifPresent((files) -> this.acceptors.scheduleAtFixedRate(files::reloadIfChanged, TLS_CHECK_SECONDS,
				TLS_CHECK_SECONDS, TimeUnit.SECONDS));
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.acceptors, this.workers)
			.channelFactory(() -> socket.map(NioServerSocketChannel::new).orElseGet(NioServerSocketChannel::new))
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_KEEPALIVE, true)
			.childOption(ChannelOption.RECVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
						.maxMessagesPerRead(1))
			.childHandler(new ConnectionInitializer(this.limits, this.handler, this.limiter, tls, this.budget));
		this.sendBuffer.ifPresent((bytes) -> bootstrap.childOption(ChannelOption.SO_SNDBUF, bytes));
		ChannelFuture bound = (socket.isPresent()) ? bootstrap.register() : bootstrap.bind(this.address);
		bound.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IOException("cannot bind " + this.address, bound.cause());
		}
		this.listener = bound.channel();
	}

	/**
	 * Return the bound port.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.listener.localAddress()).getPort();
	}

	/** Close each open connection after its next response. */
	public void closeAfterResponses() {
		this.limiter.channels().forEach(ConnectionLimiter::markClosing);
	}

	/**
	 * Stop accepting connections and close the open ones gracefully: HTTP/2 connections
	 * get a GOAWAY frame, idle HTTP/1.1 connections are closed at once and busy ones
	 * after their response.
	 */
	public void stopAccepting() {
		this.listener.close().awaitUninterruptibly();
		for (Channel connection : this.limiter.channels()) {
			connection.eventLoop().execute(() -> closeWhenIdle(connection));
		}
	}

	private static void closeWhenIdle(Channel connection) {
		ConnectionLimiter.markClosing(connection);
		if (connection.pipeline().get(ConnectionInitializer.HTTP2) != null) {
			connection.writeAndFlush(new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR));
		}
		else if (!(connection.pipeline().get(ConnectionInitializer.READER) instanceof RequestReader reader)
				|| !reader.isBusy()) {
			connection.close();
		}
	}

	/**
	 * Return the number of open connections.
	 * @return the number of connections
	 */
	public int connections() {
		return this.limiter.channels().size();
	}

	/**
	 * Return whether no connection has data waiting to be written to its caller.
	 * @return whether all bytes of the responses were written to the sockets
	 */
	public boolean isFlushed() {
		return this.limiter.channels().stream().allMatch(NettyHttpServer::hasNoPendingBytes);
	}

	private static boolean hasNoPendingBytes(Channel connection) {
		ChannelOutboundBuffer buffer = connection.unsafe().outboundBuffer();
		return buffer == null || buffer.totalPendingWriteBytes() == 0;
	}

	/**
	 * Stop accepting connections and close the open ones. The worker event loops are left
	 * to their owner.
	 */
	public void close() {
		this.limiter.channels().forEach(Channel::close);
		if (this.acceptors == this.workers) {
			return;
		}
		this.acceptors.shutdownGracefully(0, 2, TimeUnit.SECONDS).awaitUninterruptibly();
	}

}
