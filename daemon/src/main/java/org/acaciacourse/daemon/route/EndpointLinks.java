package org.acaciacourse.daemon.route;

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
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.vavr.control.Try;
import jdk.net.ExtendedSocketOptions;
import org.acaciacourse.core.balance.IdleLimit;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.daemon.inner.InnerConnection;

/**
 * The connections to the endpoints, kept by instance: an address may belong to another
 * instance tomorrow, and a connection that went to the one before must not serve it.
 * Invariant: an idle connection is in one list and serves nobody.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
final class EndpointLinks {

	/**
	 * A SYN or its answer takes milliseconds; one that was dropped is sent again after a
	 * second.
	 */
	private static final int CONNECT_MILLIS = 600;

	/**
	 * How long an idle connection is used when its endpoint does not tell how long it
	 * keeps it. Shorter than the idle timeouts of common servers.
	 */
	private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(4);

	/**
	 * An idle connection is not used in the last part of the time that its endpoint told.
	 */
	private static final double IDLE_SHARE = 0.8;

	/** With three probes a second apart a dead peer is found within four seconds. */
	private static final int KEEPALIVE_SECONDS = 1;

	private static final int KEEPALIVE_PROBES = 3;

	private static final int MAX_LINE = 4 * 1024;

	private static final int MAX_HEADER = 32 * 1024;

	private static final int MAX_CHUNK = 64 * 1024;

	private final EventLoop loop;

	private final Map<String, Deque<EndpointLink>> idle = new HashMap<>();

	private final Map<String, Long> idleNanos = new HashMap<>();

	private final Map<String, IdleLimit> limits = new HashMap<>();

	EndpointLinks(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Get a connection: an idle one, the latest used first, or a new one.
	 * @param endpoint the endpoint
	 * @param onReady gets the connection, or why there is none; possibly within this call
	 */
	void acquire(FleetEndpoint endpoint, Consumer<Try<EndpointLink>> onReady) {
		Optional<EndpointLink> kept = takeIdle(endpoint);
		if (kept.isPresent()) {
			onReady.accept(Try.success(kept.get()));
		}
		else {
			connect(endpoint, onReady);
		}
	}

	private void connect(FleetEndpoint endpoint, Consumer<Try<EndpointLink>> onReady) {
		EndpointLink link = new EndpointLink((gone) -> forget(endpoint.instance(), gone));
		Bootstrap bootstrap = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)
			.handler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline().addLast(new HttpClientCodec(MAX_LINE, MAX_HEADER, MAX_CHUNK));
					channel.pipeline().addLast(link);
				}

			});
		InetSocketAddress address = InnerConnection.parse(endpoint.address());
		bootstrap.connect(address)
			.addListener(
					(future) -> onReady.accept((future.isSuccess()) ? Try.success(link) : Try.failure(future.cause())));
	}

	private Optional<EndpointLink> takeIdle(FleetEndpoint endpoint) {
		Deque<EndpointLink> links = this.idle.get(endpoint.instance());
		long now = System.nanoTime();
		long most = limit(endpoint.pool()).limit(now);
		while (links != null && !links.isEmpty()) {
			EndpointLink link = links.pollLast();
			if (link.isUsable(now) && link.idleNanos(now) < most) {
				return Optional.of(link);
			}
			link.abandon();
		}
		return Optional.empty();
	}

	/**
	 * Take a connection back whose answer was received to its end.
	 * @param endpoint its endpoint
	 * @param link the connection
	 */
	void release(FleetEndpoint endpoint, EndpointLink link) {
		long now = System.nanoTime();
		link.rest(now, now + this.idleNanos.getOrDefault(endpoint.instance(), IDLE_NANOS));
		this.idle.computeIfAbsent(endpoint.instance(), (instance) -> new ArrayDeque<>()).addLast(link);
	}

	/**
	 * Note how long an endpoint keeps idle connections.
	 * @param endpoint the endpoint
	 * @param seconds the time that it told
	 */
	void idleTimeout(FleetEndpoint endpoint, int seconds) {
		this.idleNanos.put(endpoint.instance(), (long) (TimeUnit.SECONDS.toNanos(seconds) * IDLE_SHARE));
	}

	/**
	 * A request was lost without any answer.
	 * @param endpoint its endpoint
	 * @param link the connection that it was sent over
	 * @param took nanoseconds from the request to the loss
	 */
	void lost(FleetEndpoint endpoint, EndpointLink link, long took) {
		limit(endpoint.pool()).lost(link.rested(), took, System.nanoTime());
	}

	private IdleLimit limit(String pool) {
		return this.limits.computeIfAbsent(pool, (name) -> new IdleLimit());
	}

	/**
	 * Return whether a request can be sent without a new connection.
	 * @param instance the endpoint's instance
	 * @return whether an idle connection is kept
	 */
	boolean hasIdle(String instance) {
		Deque<EndpointLink> links = this.idle.get(instance);
		return links != null && !links.isEmpty();
	}

	int idle() {
		return this.idle.values().stream().mapToInt(Deque::size).sum();
	}

	private void forget(String instance, EndpointLink link) {
		Deque<EndpointLink> links = this.idle.get(instance);
		if (links != null) {
			links.remove(link);
		}
	}

	/**
	 * Close the idle connections to endpoints that are gone, and those whose time is
	 * over.
	 * @param isThere tells whether an instance is in the fleet
	 */
	void sweep(Predicate<String> isThere) {
		long now = System.nanoTime();
		this.idleNanos.keySet().removeIf((instance) -> !isThere.test(instance));
		this.idle.entrySet().removeIf((entry) -> {
			boolean there = isThere.test(entry.getKey());
			entry.getValue().removeIf((link) -> {
				boolean drop = !there || !link.isUsable(now);
				if (drop) {
					link.abandon();
				}
				return drop;
			});
			return !there;
		});
	}

}
