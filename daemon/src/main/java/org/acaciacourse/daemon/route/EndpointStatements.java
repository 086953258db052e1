package org.acaciacourse.daemon.route;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import org.acaciacourse.core.balance.PlacedRequest;
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
	 * Take over what an endpoint stated of its load and its limits.
	 * @param endpoint the endpoint
	 * @param metadata the metadata of a response
	 * @param placed the request there
	 * @param now the time
	 */
	static void reportLoad(FleetEndpoint endpoint, RequestDialect.ResponseMetadata metadata, PlacedRequest placed,
			long now) {
		metadata.load()
			.filter((load) -> placed.report(load.running(), load.waiting(), load.pace(), now))
			.ifPresent((load) -> DecisionLog.write(LogEvent.ENDPOINT_STARTED, endpoint.instance(), null));
		metadata.refusalLimit().ifPresent((limit) -> placed.reportRefusalLimit(limit, now));
		placed.reportRateLimit(metadata.rateLimit(), now);
	}

	/**
	 * Process the head of a response. One to another request may be late: what it states
	 * for a time held earlier, while an endpoint that is leaving does not change its
	 * mind.
	 * @param response the response
	 * @param status its status
	 * @param metadata its metadata
	 */
	void received(Response response, int status, RequestDialect.ResponseMetadata metadata) {
		if (isOfEarlierRun(response.endpoint())) {
			return;
		}
		boolean leaving = metadata.leaving() && status != MISDIRECTED_REQUEST;
		Optional<Duration> rest = metadata.retryAfter()
			.filter((time) -> response.own() && status == SERVICE_UNAVAILABLE);
		EndpointStatement statement = new EndpointStatement(response.endpoint().instance(), rest, leaving);
		if (statement.restricts()) {
			apply(statement, Optional.of(response));
			response.via().ifPresent((peer) -> this.connections.tell(peer, statement));
		}
	}

	// What an endpoint stated before it started again holds no longer.
	private boolean isOfEarlierRun(FleetEndpoint endpoint) {
		return this.pools.endpoint(endpoint.instance())
			.filter((listed) -> listed.run().isAfter(endpoint.run()))
			.isPresent();
	}

	/**
	 * Process what a peer has read in a response through this VM.
	 * @param statement the statement
	 */
	void told(EndpointStatement statement) {
		apply(statement, Optional.empty());
	}

	// Requests of other VMs would reach the endpoint through open tunnels as well.
	private void apply(EndpointStatement statement, Optional<Response> source) {
		long now = System.nanoTime();
		String instance = statement.instance();
		String pool = this.pools.endpoint(instance).map(FleetEndpoint::pool).orElse(null);
		String request = source.map(Response::request).orElse(null);
		String via = source.flatMap(Response::via).orElse(null);
		Integer inFlight = source.map(Response::inFlight).orElse(null);
		statement.rest().ifPresent((rest) -> {
			long leftMillis = this.pools.rests().remaining(instance, now).toMillis();
			DecisionLog.write(LogEvent.ENDPOINT_REST, instance, pool, request, via, rest.toMillis(), leftMillis,
					inFlight);
			this.pools.rests().ask(instance, rest, now);
		});
		if (statement.leaving() && this.pools.leavingStated(instance, now)) {
			DecisionLog.write(LogEvent.ENDPOINT_LEAVING, instance, pool, request, via, inFlight);
		}
		this.tunnelStopper.accept(instance);
	}

	/**
	 * Where a response comes from.
	 *
	 * @param endpoint the endpoint as it was listed when the request was placed
	 * @param request the id of the request that waited for it
	 * @param own whether it is the response to that request
	 * @param via the VM that the connection is tunnelled through, if it is
	 * @param inFlight how many requests of this VM are at the endpoint
	 */
	record Response(FleetEndpoint endpoint, String request, boolean own, Optional<String> via, int inFlight) {
	}

}
