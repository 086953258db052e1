package org.acaciacourse.daemon.route;

import java.util.Map;
import java.util.function.ToDoubleFunction;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.acaciacourse.core.balance.OptionalMechanism;
import org.acaciacourse.core.balance.RoutingMechanism;
import org.acaciacourse.core.balance.RoutingPolicy;
import org.acaciacourse.core.speed.PoolSpeeds;
import org.acaciacourse.daemon.telemetry.Gauges;

/**
 * Gauges of the current state of an entry VM. The event loop publishes a snapshot once a
 * second, so that a reader of the metrics neither waits for the loop nor blocks it;
 * values are at most one second old.
 * <p>
 * Thread safe.
 */
final class RouteGauges {

	private volatile Snapshot latest = new Snapshot(0, 0, 0, 0, 0, 0, 0, 0, Map.of(), RoutingPolicy.DEFAULT);

	RouteGauges(PrometheusRegistry registry) {
		gauge(registry, "acaciacourse_routed_open_requests", "Routed requests without an end", Snapshot::openRequests);
		gauge(registry, "acaciacourse_caller_connections", "Open connections of callers", Snapshot::callerConnections);
		gauge(registry, "acaciacourse_endpoint_connections_idle", "Kept connections to endpoints",
				Snapshot::idleConnections);
		gauge(registry, "acaciacourse_endpoint_links_lost", "Endpoints that this VM cannot reach", Snapshot::lostLinks);
		gauge(registry, "acaciacourse_configuration_number", "Number of the configuration in force",
				Snapshot::configurationNumber);
		gauge(registry, "acaciacourse_configuration_age_seconds", "Time since the configuration came into force",
				Snapshot::configurationAge);
		gauge(registry, "acaciacourse_retry_sharers", "Entry VMs that the retry budgets are divided by",
				Snapshot::sharers);
		gauge(registry, "acaciacourse_tunnels_open", "Tunnels that this VM carries for others", Snapshot::openTunnels);
		perMechanism(registry);
		perPool(registry, "acaciacourse_pool_waiting_requests", "Requests that wait for an endpoint", Pool::waiting);
		perPool(registry, "acaciacourse_pool_in_flight_requests", "Requests at endpoints", Pool::inFlight);
		perPool(registry, "acaciacourse_pool_retries_left", "Retries that the budget permits now", Pool::retriesLeft);
		perPool(registry, "acaciacourse_pool_speeds_in_use",
				"Whether the choice of an endpoint takes account of speeds", (pool) -> (pool.speeds().inUse()) ? 1 : 0);
		perPool(registry, "acaciacourse_pool_speed_lowest", "Lowest speed of an endpoint relative to the median",
				(pool) -> pool.speeds().lowest());
		perPool(registry, "acaciacourse_pool_speed_highest", "Highest speed of an endpoint relative to the median",
				(pool) -> pool.speeds().highest());
		perPool(registry, "acaciacourse_pool_short", "Whether customers are kept to their shares of the pool",
				(pool) -> (pool.shortOfCapacity()) ? 1 : 0);
	}

	private void gauge(PrometheusRegistry registry, String name, String help, ToDoubleFunction<Snapshot> value) {
		Gauges.register(registry, name, help, () -> value.applyAsDouble(this.latest));
	}

	private void perPool(PrometheusRegistry registry, String name, String help, ToDoubleFunction<Pool> value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.labelNames("pool")
			.callback((callback) -> this.latest.pools()
				.forEach((pool, state) -> callback.call(value.applyAsDouble(state), pool)))
			.register(registry);
	}

	private void perMechanism(PrometheusRegistry registry) {
		GaugeWithCallback.builder()
			.name("acaciacourse_routing_mechanism_on")
			.help("Whether a mechanism of the routing policy in force is on")
			.labelNames("policy", "mechanism")
			.callback((callback) -> {
				RoutingPolicy policy = this.latest.policy();
				for (RoutingMechanism mechanism : RoutingMechanism.values()) {
					callback.call((policy.isOn(mechanism)) ? 1 : 0, policy.name(), mechanism.label());
				}
				for (OptionalMechanism mechanism : OptionalMechanism.values()) {
					callback.call((policy.isOn(mechanism, false)) ? 1 : 0, policy.name(), mechanism.label());
				}
			})
			.register(registry);
	}

	/**
	 * Publish the current values.
	 * @param next the values
	 */
	void publish(Snapshot next) {
		this.latest = next;
	}

	/**
	 * The values at one point in time.
	 *
	 * @param openRequests requests that have not ended
	 * @param callerConnections open connections of callers
	 * @param idleConnections idle connections to endpoints
	 * @param lostLinks endpoints that this VM cannot reach
	 * @param openTunnels tunnels that this VM carries for others
	 * @param configurationNumber the number of the configuration in force, 0 for none
	 * @param configurationAge seconds since it came into force
	 * @param sharers entry VMs among which the retry budgets are divided
	 * @param pools the pools by name
	 * @param policy the routing policy in force
	 */
	record Snapshot(int openRequests, int callerConnections, int idleConnections, int lostLinks, int openTunnels,
			long configurationNumber, double configurationAge, int sharers, Map<String, Pool> pools,
			RoutingPolicy policy) {

		Snapshot {
			pools = Map.copyOf(pools);
		}

	}

	/**
	 * The values of a pool.
	 *
	 * @param waiting requests that wait for an endpoint
	 * @param inFlight requests at its endpoints
	 * @param retriesLeft retries that the budget permits
	 * @param speeds the lowest and the highest speed of its endpoints
	 * @param shortOfCapacity whether customers are kept to their shares
	 */
	record Pool(int waiting, int inFlight, double retriesLeft, PoolSpeeds.Range speeds, boolean shortOfCapacity) {
	}

}
