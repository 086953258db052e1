package org.acaciacourse.daemon.route;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.acaciacourse.core.balance.LoadPeer;
import org.acaciacourse.core.balance.RoutingPolicy;
import org.acaciacourse.daemon.control.FleetSource;
import org.acaciacourse.daemon.inner.SharedKey;
import org.acaciacourse.daemon.link.UsageMeter;
import org.acaciacourse.daemon.memory.MemoryOptions;

/**
 * Options of the entry daemon for routed requests.
 * <p>
 * Immutable and thread safe.
 *
 * @param listen the address for callers
 * @param ready the address of the readiness server
 * @param metrics the address for health and metrics, if there is one
 * @param loadPeer the identity of this VM in the exchange of loads, if it takes part
 * @param tunnelKey the key with which entry VMs ask each other for tunnels
 * @param retryBudget the retry budget
 * @param maxConnections the maximum number of caller connections
 * @param stopDelay how long callers are still accepted after a stop was requested, so
 * that load balancers can see that the VM is not ready
 * @param drainLimit the maximum time after that for the requests in flight
 * @param fleetSource reads the platform's endpoint list while no control VM reports the
 * fleet
 * @param policy the initial routing policy
 * @param usage counts the requests that endpoints begin, if their usage is reported
 * @param memory the memory budget, if what callers and endpoints make the VM hold is
 * bounded
 */
public record RouteOptions(InetSocketAddress listen, InetSocketAddress ready, Optional<InetSocketAddress> metrics,
		Optional<LoadPeer> loadPeer, SharedKey tunnelKey, RetryBudgetOptions retryBudget, int maxConnections,
		Duration stopDelay, Duration drainLimit, FleetSource fleetSource, RoutingPolicy policy,
		Optional<UsageMeter> usage, Optional<MemoryOptions> memory) {

	public RouteOptions {
		Objects.requireNonNull(listen, "listen");
		Objects.requireNonNull(ready, "ready");
		Objects.requireNonNull(metrics, "metrics");
		Objects.requireNonNull(loadPeer, "loadPeer");
		Objects.requireNonNull(tunnelKey, "tunnelKey");
		Objects.requireNonNull(retryBudget, "retryBudget");
		Objects.requireNonNull(fleetSource, "fleetSource");
		Objects.requireNonNull(policy, "policy");
		Objects.requireNonNull(usage, "usage");
		Objects.requireNonNull(memory, "memory");
	}

}
