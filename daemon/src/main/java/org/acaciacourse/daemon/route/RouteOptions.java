package org.acaciacourse.daemon.route;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.acaciacourse.core.balance.LoadPeer;
import org.acaciacourse.core.balance.RoutingPolicy;
import org.acaciacourse.daemon.control.FleetSource;

/**
 * What an entry for routed requests is started with.
 * <p>
 * Immutable and thread safe.
 *
 * @param listen the address for callers
 * @param ready the address that tells whether callers should be sent here
 * @param metrics the address of health and metrics, if there is one
 * @param loadPeer this VM as one that exchanges its load with others, if it should
 * @param retryBudget the retry budget
 * @param maxConnections the most connections of callers
 * @param stopDelay how long callers are still taken after a stop was asked for, until
 * whoever sends them has seen that the VM is not ready
 * @param drainLimit the longest time for what is in flight after that
 * @param fleetSource reads the platform's list while no control VM tells the fleet
 * @param policy how it decides until it is told otherwise
 */
public record RouteOptions(InetSocketAddress listen, InetSocketAddress ready, Optional<InetSocketAddress> metrics,
		Optional<LoadPeer> loadPeer, RetryRule retryBudget, int maxConnections, Duration stopDelay, Duration drainLimit,
		FleetSource fleetSource, RoutingPolicy policy) {

	public RouteOptions {
		Objects.requireNonNull(listen, "listen");
		Objects.requireNonNull(ready, "ready");
		Objects.requireNonNull(metrics, "metrics");
		Objects.requireNonNull(loadPeer, "loadPeer");
		Objects.requireNonNull(retryBudget, "retryBudget");
		Objects.requireNonNull(fleetSource, "fleetSource");
		Objects.requireNonNull(policy, "policy");
	}

}
