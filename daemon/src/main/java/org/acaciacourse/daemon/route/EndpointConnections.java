package org.acaciacourse.daemon.route;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.netty.channel.EventLoop;
import io.vavr.control.Try;
import org.acaciacourse.core.balance.IdleLimit;
import org.acaciacourse.core.path.EndpointPaths;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.daemon.inner.SharedKey;
import org.acaciacourse.daemon.tunnel.EndpointStatement;
import org.acaciacourse.daemon.tunnel.TcpSockets;

/**
 * The connections to the endpoints, kept by instance: an address may be reassigned to
 * another instance, and a connection to the previous instance must not serve it. Nor does
 * a connection to an earlier run of the endpoint. Invariant: an idle connection is in
 * exactly one list and serves no request.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
final class EndpointConnections {

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

	private final EndpointPaths paths;

	private final EndpointConnector connector;

	private final Map<String, Deque<EndpointConnection>> idleConnections = new HashMap<>();

	/** The endpoints to which the direct path is being probed. */
	private final Set<String> probing = new HashSet<>();

	private final Map<String, Long> idleTimeoutNanos = new HashMap<>();

	private final Map<String, IdleLimit> idleLimits = new HashMap<>();

	/**
	 * Create the connections of a VM.
	 * @param loop their event loop
	 * @param paths the paths to the endpoints
	 * @param tunnelKey the key that peers ask for, if this VM has any
	 * @param tunnelsAllowed returns whether the policy permits tunnels
	 */
	EndpointConnections(EventLoop loop, EndpointPaths paths, Optional<SharedKey> tunnelKey,
			BooleanSupplier tunnelsAllowed) {
		this.paths = paths;
		this.connector = new EndpointConnector(loop, paths, tunnelKey, tunnelsAllowed, this::remove);
	}

	/** Bound the reads of all connections that are made from now on. */
	void boundReads() {
		this.connector.boundReads();
	}

	/**
	 * Get a connection: the most recently used idle one over a path that works, or else a
	 * new one.
	 * @param endpoint the endpoint
	 * @param hasCarried returns whether a connection has carried the request already, or
	 * one with the same id: a late response to that could not be told from the next one
	 * @param onReady receives the connection, or the reason why there is none; possibly
	 * called before this method returns
	 */
	void acquire(FleetEndpoint endpoint, Predicate<EndpointConnection> hasCarried,
			Consumer<Try<EndpointConnection>> onReady) {
		Optional<EndpointConnection> idle = takeIdle(endpoint, hasCarried);
		if (idle.isEmpty()) {
			this.connector.connect(endpoint, onReady, (spare) -> release(endpoint, spare));
			return;
		}
		if (idle.get().via().isPresent()) {
			probe(endpoint);
		}
		onReady.accept(Try.success(idle.get()));
	}

	// Finds out whether the direct path is back; the connection serves a later request.
	private void probe(FleetEndpoint endpoint) {
		if (this.paths.direct().link(endpoint.instance()).mayConnect(System.nanoTime())
				&& this.probing.add(endpoint.instance())) {
			this.connector.connectDirectly(endpoint, (result) -> {
				this.probing.remove(endpoint.instance());
				result.forEach((connection) -> release(endpoint, connection));
			});
		}
	}

	/**
	 * Check whether an endpoint refuses connections, to this VM or to others, and accepts
	 * none. A connection that it accepts serves a later request. Other VMs that have lost
	 * the endpoint as well do not tell why, so that one refusal is enough.
	 * @param endpoint the endpoint
	 * @param onChecked receives whether it refuses connections
	 */
	void checkRefusal(FleetEndpoint endpoint, Consumer<Boolean> onChecked) {
		this.connector.connectDirectly(endpoint, (direct) -> {
			if (direct.isSuccess()) {
				release(endpoint, direct.get());
				onChecked.accept(false);
			}
			else {
				checkOtherPaths(endpoint, TcpSockets.isRefused(direct.getCause()), onChecked);
			}
		});
	}

	private void checkOtherPaths(FleetEndpoint endpoint, boolean refused, Consumer<Boolean> onChecked) {
		this.connector.connect(endpoint, (result) -> {
			result.forEach((connection) -> release(endpoint, connection));
			onChecked.accept(result.isFailure() && (refused || TcpSockets.isRefused(result.getCause())));
		}, (spare) -> release(endpoint, spare));
	}

	/**
	 * Tell a peer what an endpoint stated in a response through it.
	 * @param peer the peer that carried the tunnel
	 * @param statement the statement
	 */
	void tell(String peer, EndpointStatement statement) {
		this.connector.tell(peer, statement);
	}

	private Optional<EndpointConnection> takeIdle(FleetEndpoint endpoint, Predicate<EndpointConnection> hasCarried) {
		Deque<EndpointConnection> connections = this.idleConnections.getOrDefault(endpoint.instance(),
				new ArrayDeque<>());
		long now = System.nanoTime();
		long maxIdleNanos = idleLimit(endpoint.pool()).limit(now);
		connections.removeIf((connection) -> {
			boolean drop = !isWorthKeeping(connection, now) || connection.idleNanos(now) >= maxIdleNanos
					|| endpoint.run().isAfter(connection.endpoint().run());
			if (drop) {
				connection.abandon();
			}
			return drop;
		});
		Iterator<EndpointConnection> latestFirst = connections.descendingIterator();
		while (latestFirst.hasNext()) {
			EndpointConnection connection = latestFirst.next();
			if (hasCarried.test(connection)) {
				latestFirst.remove();
				connection.abandon();
			}
			else if (connection.link().isTrusted()) {
				latestFirst.remove();
				return Optional.of(connection);
			}
		}
		return Optional.empty();
	}

	// A tunnel is only used while the direct path does not work.
	private boolean isWorthKeeping(EndpointConnection connection, long now) {
		boolean needed = connection.via()
			.map((peer) -> this.paths.isPeer(peer)
					&& !this.paths.direct().link(connection.endpoint().instance()).isTrusted())
			.orElse(true);
		return needed && connection.isUsable(now);
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
	 * Return whether a connection is direct and known to be cut, while another path leads
	 * to its endpoint.
	 * @param connection the connection
	 * @return whether requests on it are better sent over that path
	 */
	boolean isKnownToBeCut(EndpointConnection connection) {
		return connection.via().isEmpty()
				&& this.paths.isDirectLinkAtFault(connection.endpoint().instance(), System.nanoTime());
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

	int idleCount() {
		return this.idleConnections.values().stream().mapToInt(Deque::size).sum();
	}

	private void remove(EndpointConnection connection) {
		Deque<EndpointConnection> connections = this.idleConnections.get(connection.endpoint().instance());
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
		this.paths.retain(isInFleet);
		this.idleTimeoutNanos.keySet().removeIf((instance) -> !isInFleet.test(instance));
		this.idleConnections.entrySet().removeIf((entry) -> {
			boolean inFleet = isInFleet.test(entry.getKey());
			entry.getValue().removeIf((connection) -> {
				boolean drop = !inFleet || !isWorthKeeping(connection, now);
				if (drop) {
					connection.abandon();
				}
				return drop;
			});
			return !inFleet;
		});
	}

}
