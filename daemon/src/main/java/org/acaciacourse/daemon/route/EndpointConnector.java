package org.acaciacourse.daemon.route;

import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Try;
import org.acaciacourse.core.path.EndpointLink;
import org.acaciacourse.core.path.EndpointPaths;
import org.acaciacourse.core.path.LinkSign;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.daemon.inner.InternalConnection;
import org.acaciacourse.daemon.inner.SharedKey;
import org.acaciacourse.daemon.relay.RelayClientHandler;
import org.acaciacourse.daemon.relay.RelayResult;
import org.acaciacourse.daemon.relay.TcpSockets;

/**
 * Establishes connections to endpoints. The paths to an endpoint are tried one after the
 * other with a short delay between them, and the first connection wins, as in Happy
 * Eyeballs (RFC 8305): a path that hangs costs its delay and not its timeout.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
final class EndpointConnector {

	/** A SYN and its reply take milliseconds; a lost SYN is sent again after a second. */
	private static final int CONNECT_TIMEOUT_MILLIS = 600;

	/** Several round trips between data centres. */
	private static final int RELAY_TIMEOUT_MILLIS = 500;

	/**
	 * How long a direct connection is waited for alone: longer than a round trip and the
	 * accept queue of a busy endpoint take.
	 */
	private static final long DELAY_MILLIS = 150;

	/** The same while something speaks against the link. */
	private static final long DELAY_IN_DOUBT_MILLIS = 20;

	/** How long a relay is waited for alone, which connects to the endpoint in turn. */
	private static final long RELAY_DELAY_MILLIS = 100;

	private static final int MAX_INITIAL_LINE_BYTES = 4 * 1024;

	private static final int MAX_HEADER_BYTES = 32 * 1024;

	private static final int MAX_CHUNK_BYTES = 64 * 1024;

	private final EventLoop loop;

	private final EndpointPaths paths;

	private final Optional<SharedKey> relayKey;

	private final BooleanSupplier relaysAllowed;

	private final Consumer<EndpointConnection> onClosed;

	/**
	 * Create a connector.
	 * @param loop the event loop of the connections
	 * @param paths the paths to the endpoints
	 * @param relayKey the key that relays ask for, if connections may be relayed at all
	 * @param relaysAllowed returns whether the policy permits relays
	 * @param onClosed receives each connection that was closed
	 */
	EndpointConnector(EventLoop loop, EndpointPaths paths, Optional<SharedKey> relayKey, BooleanSupplier relaysAllowed,
			Consumer<EndpointConnection> onClosed) {
		this.loop = loop;
		this.paths = paths;
		this.relayKey = relayKey;
		this.relaysAllowed = relaysAllowed;
		this.onClosed = onClosed;
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
		TcpSockets.bootstrap(this.loop, CONNECT_TIMEOUT_MILLIS).handler(new ChannelInitializer<Channel>() {

			@Override
			protected void initChannel(Channel channel) {
				addHttp(channel, connection);
			}

		}).connect(InternalConnection.parse(endpoint.address())).addListener((ChannelFutureListener) (future) -> {
			recordConnect(link, Optional.ofNullable(future.cause()));
			onReady.accept((future.isSuccess()) ? Try.success(connection) : Try.failure(future.cause()));
		});
	}

	private static void addHttp(Channel channel, EndpointConnection connection) {
		channel.pipeline().addLast(new HttpClientCodec(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES));
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

	private void connectThrough(String relay, FleetEndpoint endpoint, Consumer<Try<EndpointConnection>> onReady) {
		EndpointLink link = this.paths.through(relay).link(endpoint.instance());
		EndpointConnection connection = new EndpointConnection(endpoint, link, Optional.of(relay), this.onClosed);
		RelayedOpening opening = new RelayedOpening(relay, link, connection, onReady);
		opening.timeout = this.loop.schedule(opening::timedOut, RELAY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		TcpSockets.bootstrap(this.loop, RELAY_TIMEOUT_MILLIS).handler(new ChannelInitializer<Channel>() {

			@Override
			protected void initChannel(Channel channel) {
				RelayClientHandler.add(channel.pipeline(), EndpointConnector.this.relayKey.orElseThrow(),
						endpoint.instance(), opening::ended, connection::closeAfterResponse);
				addHttp(channel, connection);
			}

		}).connect(InternalConnection.parse(relay)).addListener((ChannelFutureListener) (future) -> {
			if (!future.isSuccess()) {
				opening.ended(RelayResult.NO_ANSWER);
			}
		});
	}

	/** A relayed connection that is being opened. */
	private final class RelayedOpening {

		private final String relay;

		private final EndpointLink link;

		private final EndpointConnection connection;

		private final Consumer<Try<EndpointConnection>> onReady;

		private ScheduledFuture<?> timeout;

		private boolean done;

		private RelayedOpening(String relay, EndpointLink link, EndpointConnection connection,
				Consumer<Try<EndpointConnection>> onReady) {
			this.relay = relay;
			this.link = link;
			this.connection = connection;
			this.onReady = onReady;
		}

		private void timedOut() {
			if (!this.done) {
				ended(RelayResult.NO_ANSWER);
				this.connection.abandon();
			}
		}

		private void ended(RelayResult result) {
			if (this.done) {
				return;
			}
			this.done = true;
			this.timeout.cancel(false);
			long now = System.nanoTime();
			if (result == RelayResult.OPENED) {
				this.link.connected(now);
				this.onReady.accept(Try.success(this.connection));
				return;
			}
			if (result.isRelayUnusable()) {
				EndpointConnector.this.paths.exclude(this.relay, now);
			}
			this.link.connectFailed((result == RelayResult.REFUSED) ? LinkSign.REFUSED : LinkSign.TIMEOUT, now);
			this.onReady.accept(Try.failure((result == RelayResult.REFUSED)
					? new ConnectException("endpoint refused the connection of relay " + this.relay)
					: new ConnectTimeoutException("relay " + this.relay + " has no connection: " + result)));
		}

	}

	/** The paths that are tried for one connection. */
	private final class Race {

		private final FleetEndpoint endpoint;

		private final Consumer<Try<EndpointConnection>> onReady;

		private final Consumer<EndpointConnection> onSpare;

		/** The paths that were not tried yet, by their relays; direct without one. */
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
			if (EndpointConnector.this.relayKey.isPresent() && EndpointConnector.this.relaysAllowed.getAsBoolean()) {
				EndpointConnector.this.paths.relays(this.endpoint, now)
					.forEach((relay) -> this.untried.add(Optional.of(relay)));
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
			Optional<String> relay = this.untried.remove();
			this.pending++;
			if (!this.untried.isEmpty()) {
				this.delay = EndpointConnector.this.loop.schedule(this::tryNext,
						(relay.isPresent()) ? RELAY_DELAY_MILLIS : this.directDelayMillis, TimeUnit.MILLISECONDS);
			}
			if (relay.isPresent()) {
				connectThrough(relay.get(), this.endpoint, (result) -> ended(result, true));
			}
			else {
				connectDirectly(this.endpoint, (result) -> ended(result, false));
			}
		}

		private void ended(Try<EndpointConnection> result, boolean relayed) {
			this.pending--;
			if (result.isSuccess()) {
				succeeded(result.get());
			}
			else if (!this.decided) {
				failed(result.getCause(), relayed);
			}
		}

		private void succeeded(EndpointConnection connection) {
			if (!this.decided) {
				decide(Try.success(connection));
			}
			else if (connection.relay().isEmpty()) {
				this.onSpare.accept(connection);
			}
			else {
				connection.abandon();
			}
		}

		// An endpoint that refuses a relay's connection as well is at fault itself.
		private void failed(Throwable cause, boolean relayed) {
			this.failure = Optional.of(this.failure.filter((first) -> !relayed).orElse(cause));
			boolean conclusive = relayed && TcpSockets.isRefused(cause) && !isDirectPathDoubted();
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
