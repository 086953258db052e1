package org.acaciacourse.daemon.route;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.vavr.control.Try;
import jdk.net.ExtendedSocketOptions;
import org.acaciacourse.core.balance.IdleLimit;
import org.acaciacourse.core.path.EndpointLink;
import org.acaciacourse.core.path.LinkSign;
import org.acaciacourse.core.path.PathLinks;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.daemon.inner.InternalConnection;

/**
 * The connections to the endpoints, kept by instance: an address may be reassigned to
 * another instance, and a connection to the previous instance must not serve it.
 * Invariant: an idle connection is in exactly one list and serves no request.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
final class EndpointConnections {

	/** A SYN and its reply take milliseconds; a lost SYN is sent again after a second. */
	private static final int CONNECT_TIMEOUT_MILLIS = 600;

	/**
	 * How long an idle connection is used if its endpoint does not state for how long it
	 * keeps it. Shorter than the idle timeouts of common servers.
	 */
	private static final long DEFAULT_IDLE_NANOS = TimeUnit.SECONDS.toNanos(4);

	/**
	 * The share of the idle timeout stated by an endpoint during which an idle connection
	 * is used; in the last part of that time it is not.
	 */
	private static final double IDLE_TIMEOUT_SHARE = 0.8;

	/** With three probes a second apart, a dead peer is detected within four seconds. */
	private static final int KEEPALIVE_SECONDS = 1;

	private static final int KEEPALIVE_PROBES = 3;

	private static final int MAX_INITIAL_LINE_BYTES = 4 * 1024;

	private static final int MAX_HEADER_BYTES = 32 * 1024;

	private static final int MAX_CHUNK_BYTES = 64 * 1024;

	private final EventLoop loop;

	private final Map<String, Deque<EndpointConnection>> idleConnections = new HashMap<>();

	private final Map<String, Long> idleTimeoutNanos = new HashMap<>();

	private final Map<String, IdleLimit> idleLimits = new HashMap<>();

	private final PathLinks directLinks = new PathLinks(new LinkLog());

	EndpointConnections(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Get a connection: the most recently used idle one, or else a new one.
	 * @param endpoint the endpoint
	 * @param onReady receives the connection, or the reason why there is none; possibly
	 * called before this method returns
	 */
	void acquire(FleetEndpoint endpoint, Consumer<Try<EndpointConnection>> onReady) {
		Optional<EndpointConnection> idle = takeIdle(endpoint);
		if (idle.isPresent()) {
			onReady.accept(Try.success(idle.get()));
		}
		else {
			connect(endpoint, onReady);
		}
	}

	private void connect(FleetEndpoint endpoint, Consumer<Try<EndpointConnection>> onReady) {
		EndpointLink link = this.directLinks.link(endpoint.instance());
		EndpointConnection connection = new EndpointConnection(link, (closed) -> remove(endpoint.instance(), closed));
		Bootstrap bootstrap = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)
			.handler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new HttpClientCodec(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES));
					channel.pipeline().addLast(connection);
				}

			});
		InetSocketAddress address = InternalConnection.parse(endpoint.address());
		bootstrap.connect(address).addListener((future) -> {
			recordConnect(link, Optional.ofNullable(future.cause()));
			onReady.accept((future.isSuccess()) ? Try.success(connection) : Try.failure(future.cause()));
		});
	}

	private static void recordConnect(EndpointLink link, Optional<Throwable> failure) {
		long now = System.nanoTime();
		if (failure.isEmpty()) {
			link.alive(now);
		}
		else {
			link.lost((isRefused(failure.get())) ? LinkSign.REFUSED : LinkSign.TIMEOUT, now);
		}
	}

	/**
	 * Return whether a connection was refused, as no process listens. A timeout may also
	 * be due to a lost packet. Netty's exception for timeouts extends ConnectException.
	 * @param failure why there is no connection
	 * @return whether it was refused
	 */
	static boolean isRefused(Throwable failure) {
		return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
	}

	private Optional<EndpointConnection> takeIdle(FleetEndpoint endpoint) {
		Deque<EndpointConnection> connections = this.idleConnections.get(endpoint.instance());
		long now = System.nanoTime();
		long maxIdleNanos = idleLimit(endpoint.pool()).limit(now);
		while (connections != null && !connections.isEmpty()) {
			EndpointConnection connection = connections.pollLast();
			if (connection.isUsable(now) && connection.idleNanos(now) < maxIdleNanos) {
				return Optional.of(connection);
			}
			connection.abandon();
		}
		return Optional.empty();
	}

	/**
	 * Take back a connection after a complete response.
	 * @param endpoint its endpoint
	 * @param connection the connection
	 */
	void release(FleetEndpoint endpoint, EndpointConnection connection) {
		long now = System.nanoTime();
		connection.markIdle(now, now + this.idleTimeoutNanos.getOrDefault(endpoint.instance(), DEFAULT_IDLE_NANOS));
		this.idleConnections.computeIfAbsent(endpoint.instance(), (instance) -> new ArrayDeque<>()).addLast(connection);
	}

	/**
	 * Set how long an endpoint keeps idle connections.
	 * @param endpoint the endpoint
	 * @param seconds the time that the endpoint stated
	 */
	void setIdleTimeout(FleetEndpoint endpoint, int seconds) {
		this.idleTimeoutNanos.put(endpoint.instance(), (long) (TimeUnit.SECONDS.toNanos(seconds) * IDLE_TIMEOUT_SHARE));
	}

	/**
	 * Record that a request was lost without any response.
	 * @param endpoint its endpoint
	 * @param connection the connection that the request was sent over
	 * @param tookNanos nanoseconds from the request to the loss
	 */
	void requestLost(FleetEndpoint endpoint, EndpointConnection connection, long tookNanos) {
		idleLimit(endpoint.pool()).lost(connection.idleNanosBeforeRequest(), tookNanos, System.nanoTime());
	}

	private IdleLimit idleLimit(String pool) {
		return this.idleLimits.computeIfAbsent(pool, (name) -> new IdleLimit());
	}

	/**
	 * Return whether a request can be sent without a new connection.
	 * @param instance the endpoint's instance
	 * @return whether there is an idle connection
	 */
	boolean hasIdle(String instance) {
		Deque<EndpointConnection> connections = this.idleConnections.get(instance);
		return connections != null && !connections.isEmpty();
	}

	PathLinks directLinks() {
		return this.directLinks;
	}

	int idleCount() {
		return this.idleConnections.values().stream().mapToInt(Deque::size).sum();
	}

	private void remove(String instance, EndpointConnection connection) {
		Deque<EndpointConnection> connections = this.idleConnections.get(instance);
		if (connections != null) {
			connections.remove(connection);
		}
	}

	/**
	 * Close the idle connections to endpoints that have left the fleet, and those that
	 * have expired.
	 * @param isInFleet returns whether an instance is in the fleet
	 */
	void sweep(Predicate<String> isInFleet) {
		long now = System.nanoTime();
		this.directLinks.retain(isInFleet);
		this.idleTimeoutNanos.keySet().removeIf((instance) -> !isInFleet.test(instance));
		this.idleConnections.entrySet().removeIf((entry) -> {
			boolean inFleet = isInFleet.test(entry.getKey());
			entry.getValue().removeIf((connection) -> {
				boolean drop = !inFleet || !connection.isUsable(now);
				if (drop) {
					connection.abandon();
				}
				return drop;
			});
			return !inFleet;
		});
	}

}
