package org.acaciacourse.daemon.route;

import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Try;
import org.acaciacourse.core.memory.UnreadResponses;
import org.acaciacourse.core.path.EndpointLink;
import org.acaciacourse.core.path.EndpointPaths;
import org.acaciacourse.core.path.LinkSign;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.daemon.endpoint.EndpointResponseDecoder;
import org.acaciacourse.daemon.inner.InternalConnection;
import org.acaciacourse.daemon.inner.SharedKey;
import org.acaciacourse.daemon.tunnel.EndpointStatement;
import org.acaciacourse.daemon.tunnel.TcpSockets;
import org.acaciacourse.daemon.tunnel.TunnelClientHandler;
import org.acaciacourse.daemon.tunnel.TunnelResult;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Establishes connections to endpoints. The paths to an endpoint are tried one after the
 * other with a short delay between them, and the first connection wins, as in Happy
 * Eyeballs (RFC 8305): a path that hangs costs its delay and not its timeout.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
final class EndpointConnector {

	private static final Logger logger = LogManager.getLogger(EndpointConnector.class);

	/** A SYN and its reply take milliseconds; a lost SYN is sent again after a second. */
	private static final int CONNECT_TIMEOUT_MILLIS = 600;

	/** Several round trips between data centres. */
	private static final int TUNNEL_TIMEOUT_MILLIS = 500;

	/**
	 * How long a direct connection is waited for alone: longer than a round trip and the
	 * accept queue of a busy endpoint take.
	 */
	private static final long DELAY_MILLIS = 150;

	/** The same while something speaks against the link. */
	private static final long DELAY_IN_DOUBT_MILLIS = 20;

	/** How long a peer is waited for alone, which connects to the endpoint in turn. */
	private static final long TUNNEL_DELAY_MILLIS = 100;

	private static final int MAX_INITIAL_LINE_BYTES = 4 * 1024;

	private static final int MAX_HEADER_BYTES = 32 * 1024;

	private static final int MAX_CHUNK_BYTES = 64 * 1024;

	/**
	 * Reads as much at once as the decisions on unread responses count with, one read for
	 * each turn of the event loop. Connections share it, as it has no state.
	 */
	private static final RecvByteBufAllocator BOUNDED_READS = new AdaptiveRecvByteBufAllocator(64, 2048,
			UnreadResponses.READ_BYTES)
		.maxMessagesPerRead(1);

	private final EventLoop loop;

	private final EndpointPaths paths;

	private final Optional<SharedKey> tunnelKey;

	private final BooleanSupplier tunnelsAllowed;

	private final Consumer<EndpointConnection> onClosed;

	private boolean readsBounded;

	/**
	 * Create a connector.
	 * @param loop the event loop of the connections
	 * @param paths the paths to the endpoints
	 * @param tunnelKey the key that peers ask for, if this VM has any
	 * @param tunnelsAllowed returns whether the policy permits tunnels
	 * @param onClosed receives each connection that was closed
	 */
	EndpointConnector(EventLoop loop, EndpointPaths paths, Optional<SharedKey> tunnelKey,
			BooleanSupplier tunnelsAllowed, Consumer<EndpointConnection> onClosed) {
		this.loop = loop;
		this.paths = paths;
		this.tunnelKey = tunnelKey;
		this.tunnelsAllowed = tunnelsAllowed;
		this.onClosed = onClosed;
	}

	/** Bound the reads of all connections that are made from now on. */
	void boundReads() {
		this.readsBounded = true;
	}

	private Bootstrap withBoundedReads(Bootstrap bootstrap) {
		return (this.readsBounded) ? bootstrap.option(ChannelOption.RECVBUF_ALLOCATOR, BOUNDED_READS) : bootstrap;
	}

	/**
	 * Establish a connection over the first path that works.
	 * @param endpoint the endpoint
	 * @param onReady receives the connection, or why there is none
	 * @param onSpare receives another direct connection that was established as well
	 */
	void connect(FleetEndpoint endpoint, Consumer<Try<EndpointConnection>> onReady,
			Consumer<EndpointConnection> onSpare) {
		new Race(endpoint, onReady, onSpare).start();
	}

	/**
	 * Establish a direct connection.
	 * @param endpoint the endpoint
	 * @param onReady receives the connection, or why there is none
	 */
	void connectDirectly(FleetEndpoint endpoint, Consumer<Try<EndpointConnection>> onReady) {
		EndpointLink link = this.paths.direct().link(endpoint.instance());
		EndpointConnection connection = new EndpointConnection(endpoint, link, Optional.empty(), this.onClosed);
		Bootstrap bootstrap = TcpSockets.endpointBootstrap(this.loop, CONNECT_TIMEOUT_MILLIS);
		withBoundedReads(bootstrap).handler(new ChannelInitializer<Channel>() {

			@Override
			protected void initChannel(Channel channel) {
				addHttp(channel, connection);
			}

		}).connect(InternalConnection.parse(endpoint.address())).addListener((ChannelFutureListener) (future) -> {
			recordConnect(link, Optional.ofNullable(future.cause()));
			onReady.accept((future.isSuccess()) ? Try.success(connection) : Try.failure(future.cause()));
		});
	}

	// Adds the handlers of a connection.
	static void addHttp(Channel channel, EndpointConnection connection) {
		channel.pipeline().addLast(new ForwardedRequestEncoder());
		channel.pipeline()
			.addLast(new EndpointResponseDecoder(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES));
		channel.pipeline().addLast(connection);
	}

	private static void recordConnect(EndpointLink link, Optional<Throwable> failure) {
		long now = System.nanoTime();
		if (failure.isEmpty()) {
			link.connected(now);
		}
		else {
			link.connectFailed((TcpSockets.isRefused(failure.get())) ? LinkSign.REFUSED : LinkSign.TIMEOUT, now);
		}
	}

	private void connectThrough(String peer, FleetEndpoint endpoint, Consumer<Try<EndpointConnection>> onReady) {
		EndpointLink link = this.paths.through(peer).link(endpoint.instance());
		EndpointConnection connection = new EndpointConnection(endpoint, link, Optional.of(peer), this.onClosed);
		TunnelOpening opening = new TunnelOpening(peer, link, connection, onReady);
		opening.timeout = this.loop.schedule(opening::timedOut, TUNNEL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		Bootstrap bootstrap = TcpSockets.bootstrap(this.loop, TUNNEL_TIMEOUT_MILLIS);
		withBoundedReads(bootstrap).handler(new ChannelInitializer<Channel>() {

			@Override
			protected void initChannel(Channel channel) {
				TunnelClientHandler.add(channel.pipeline(), EndpointConnector.this.tunnelKey.orElseThrow(),
						endpoint.instance(), opening::ended, connection::closeAfterResponse);
				addHttp(channel, connection);
			}

		}).connect(InternalConnection.parse(peer)).addListener((ChannelFutureListener) (future) -> {
			if (!future.isSuccess()) {
				opening.ended(TunnelResult.NO_ANSWER);
			}
		});
	}

	/**
	 * Tell a peer what an endpoint stated in a response through it.
	 * @param peer the peer that carried the tunnel
	 * @param statement the statement
	 */
	void tell(String peer, EndpointStatement statement) {
		TcpSockets.bootstrap(this.loop, TUNNEL_TIMEOUT_MILLIS).handler(new ChannelInitializer<Channel>() {

			@Override
			protected void initChannel(Channel channel) {
				TunnelClientHandler.addStatement(channel.pipeline(), EndpointConnector.this.tunnelKey.orElseThrow(),
						statement, (result) -> {
							logger.debug("peer {} was told {}: {}", peer, statement, result);
							channel.close();
						});
				EndpointConnector.this.loop.schedule((Runnable) channel::close, TUNNEL_TIMEOUT_MILLIS,
						TimeUnit.MILLISECONDS);
			}

		}).connect(InternalConnection.parse(peer)).addListener((ChannelFutureListener) (future) -> {
			if (!future.isSuccess()) {
				logger.warn("peer {} could not be told {}: {}", peer, statement, String.valueOf(future.cause()));
			}
		});
	}

	/** A tunnel that is being opened. */
	private final class TunnelOpening {

		private final String peer;

		private final EndpointLink link;

		private final EndpointConnection connection;

		private final Consumer<Try<EndpointConnection>> onReady;

		private ScheduledFuture<?> timeout;

		private boolean done;

		private TunnelOpening(String peer, EndpointLink link, EndpointConnection connection,
				Consumer<Try<EndpointConnection>> onReady) {
			this.peer = peer;
			this.link = link;
			this.connection = connection;
			this.onReady = onReady;
		}

		private void timedOut() {
			if (!this.done) {
				ended(TunnelResult.NO_ANSWER);
				this.connection.abandon();
			}
		}

		private void ended(TunnelResult result) {
			if (this.done) {
				return;
			}
			this.done = true;
			this.timeout.cancel(false);
			long now = System.nanoTime();
			if (result == TunnelResult.OPENED) {
				this.link.connected(now);
				this.onReady.accept(Try.success(this.connection));
				return;
			}
			if (result.isPeerUnusable()) {
				EndpointConnector.this.paths.exclude(this.peer, now);
			}
			this.link.connectFailed((result == TunnelResult.REFUSED) ? LinkSign.REFUSED : LinkSign.TIMEOUT, now);
			this.onReady.accept(Try.failure((result == TunnelResult.REFUSED)
					? new ConnectException("endpoint refused the connection of peer " + this.peer)
					: new ConnectTimeoutException("peer " + this.peer + " has no connection: " + result)));
		}

	}

	/** The paths that are tried for one connection. */
	private final class Race {

		private final FleetEndpoint endpoint;

		private final Consumer<Try<EndpointConnection>> onReady;

		private final Consumer<EndpointConnection> onSpare;

		/** The paths that were not tried yet, by their peers; direct without one. */
		private final Deque<Optional<String>> untried = new ArrayDeque<>();

		private Optional<Throwable> failure = Optional.empty();

		private ScheduledFuture<?> delay;

		private ScheduledFuture<?> timeout;

		private long directDelayMillis = DELAY_MILLIS;

		private int pending;

		private boolean decided;

		private Race(FleetEndpoint endpoint, Consumer<Try<EndpointConnection>> onReady,
				Consumer<EndpointConnection> onSpare) {
			this.endpoint = endpoint;
			this.onReady = onReady;
			this.onSpare = onSpare;
		}

		private void start() {
			long now = System.nanoTime();
			EndpointLink direct = EndpointConnector.this.paths.direct().link(this.endpoint.instance());
			if (EndpointConnector.this.tunnelKey.isPresent() && EndpointConnector.this.tunnelsAllowed.getAsBoolean()) {
				EndpointConnector.this.paths.peersFor(this.endpoint, now)
					.forEach((peer) -> this.untried.add(Optional.of(peer)));
			}
			if (direct.mayConnect(now)) {
				this.untried.addFirst(Optional.empty());
			}
			else {
				this.untried.addLast(Optional.empty());
			}
			if (!direct.isTrusted()) {
				this.directDelayMillis = DELAY_IN_DOUBT_MILLIS;
			}
			this.timeout = EndpointConnector.this.loop.schedule(this::timedOut, CONNECT_TIMEOUT_MILLIS,
					TimeUnit.MILLISECONDS);
			tryNext();
		}

		private void tryNext() {
			Optional<String> peer = this.untried.remove();
			this.pending++;
			if (!this.untried.isEmpty()) {
				this.delay = EndpointConnector.this.loop.schedule(this::tryNext,
						(peer.isPresent()) ? TUNNEL_DELAY_MILLIS : this.directDelayMillis, TimeUnit.MILLISECONDS);
			}
			if (peer.isPresent()) {
				connectThrough(peer.get(), this.endpoint, (result) -> ended(result, true));
			}
			else {
				connectDirectly(this.endpoint, (result) -> ended(result, false));
			}
		}

		private void ended(Try<EndpointConnection> result, boolean tunnelled) {
			this.pending--;
			if (result.isSuccess()) {
				succeeded(result.get());
			}
			else if (!this.decided) {
				failed(result.getCause(), tunnelled);
			}
		}

		private void succeeded(EndpointConnection connection) {
			if (!this.decided) {
				decide(Try.success(connection));
			}
			else if (connection.via().isEmpty()) {
				this.onSpare.accept(connection);
			}
			else {
				connection.abandon();
			}
		}

		// An endpoint that refuses a peer's connection as well is at fault itself.
		private void failed(Throwable cause, boolean tunnelled) {
			this.failure = Optional.of(this.failure.filter((first) -> !tunnelled).orElse(cause));
			boolean conclusive = tunnelled && TcpSockets.isRefused(cause) && !isDirectPathDoubted();
			if (conclusive || (this.untried.isEmpty() && this.pending == 0)) {
				decide(Try.failure(this.failure.get()));
			}
			else if (!this.untried.isEmpty()) {
				this.delay.cancel(false);
				tryNext();
			}
		}

		private boolean isDirectPathDoubted() {
			return EndpointConnector.this.paths.direct()
				.link(this.endpoint.instance())
				.isPathDoubted(System.nanoTime());
		}

		private void timedOut() {
			if (!this.decided) {
				decide(Try.failure(new ConnectTimeoutException(
						"no path to " + this.endpoint.instance() + " within " + CONNECT_TIMEOUT_MILLIS + " ms")));
			}
		}

		private void decide(Try<EndpointConnection> result) {
			this.decided = true;
			this.timeout.cancel(false);
			if (this.delay != null) {
				this.delay.cancel(false);
			}
			this.onReady.accept(result);
		}

	}

}
