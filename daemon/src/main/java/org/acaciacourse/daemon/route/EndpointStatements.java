package org.acaciacourse.daemon.route;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import org.acaciacourse.core.balance.EndpointRests;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;
import org.acaciacourse.daemon.tunnel.EndpointStatement;

/**
 * Takes over what endpoints state in their responses about requests to them: that they
 * want rest, or are leaving. An endpoint speaks to the VM that its connection comes from:
 * for a response through a tunnel that is the peer, which is told.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class EndpointStatements {

	/** HTTP 421: the response is of another endpoint, which has the address now. */
	private static final int MISDIRECTED_REQUEST = 421;

	/** HTTP 503: the endpoint has no room, or its deadline passed in the queue. */
	private static final int SERVICE_UNAVAILABLE = 503;

	private final PoolStates pools;

	private final EndpointConnections connections;

	private final Consumer<String> tunnelStopper;

	/**
	 * Create the receiver of statements.
	 * @param pools keeps the statements
	 * @param connections tells peers
	 * @param tunnelStopper has the tunnels of other VMs to an instance closed
	 */
	EndpointStatements(PoolStates pools, EndpointConnections connections, Consumer<String> tunnelStopper) {
		this.pools = pools;
		this.connections = connections;
		this.tunnelStopper = tunnelStopper;
	}

	/**
	 * Process the head of a response.
	 * @param response the response
	 * @param status its status
	 * @param metadata its metadata
	 */
	void received(Response response, int status, RequestDialect.ResponseMetadata metadata) {
		boolean leaving = metadata.leaving() && status != MISDIRECTED_REQUEST;
		Optional<Duration> rest = metadata.retryAfter().filter((time) -> status == SERVICE_UNAVAILABLE);
		EndpointStatement statement = new EndpointStatement(response.endpoint().instance(), rest, leaving);
		if (statement.restricts()) {
			rest.ifPresent((time) -> logRest(response, time));
			if (apply(statement)) {
				logLeaving(response);
			}
			response.via().ifPresent((peer) -> this.connections.tell(peer, statement));
		}
	}

	/**
	 * Keep a statement, and have the tunnels to its endpoint closed after their requests.
	 * @param statement the statement
	 * @return whether the endpoint was not known to be leaving by its own statement
	 */
	boolean apply(EndpointStatement statement) {
		long now = System.nanoTime();
		statement.rest().ifPresent((time) -> this.pools.rests().ask(statement.instance(), time, now));
		boolean firstLeaving = statement.leaving() && this.pools.leavingStated(statement.instance(), now);
		this.tunnelStopper.accept(statement.instance());
		return firstLeaving;
	}

	private void logRest(Response response, Duration rest) {
		EndpointRests rests = this.pools.rests();
		String instance = response.endpoint().instance();
		DecisionLog.write(LogEvent.ENDPOINT_REST, instance, response.endpoint().pool(), response.request(),
				response.via().orElse(null), rest.toMillis(), rests.remaining(instance, System.nanoTime()).toMillis(),
				response.inFlight());
	}

	private static void logLeaving(Response response) {
		DecisionLog.write(LogEvent.ENDPOINT_LEAVING, response.endpoint().instance(), response.endpoint().pool(),
				response.request(), response.via().orElse(null), response.inFlight());
	}

	/**
	 * Where a response comes from.
	 *
	 * @param endpoint the endpoint
	 * @param request the id of the request
	 * @param via the VM that the connection is tunnelled through, if it is
	 * @param inFlight how many requests of this VM are at the endpoint
	 */
	record Response(FleetEndpoint endpoint, String request, Optional<String> via, int inFlight) {
	}

}
