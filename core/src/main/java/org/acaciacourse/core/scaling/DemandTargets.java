package org.acaciacourse.core.scaling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;

import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.core.route.Pool;

/**
 * The {@link CapacityTarget}s of all pools that are ordered.
 * <p>
 * Not thread safe.
 */
final class DemandTargets {

	private final double reserve;

	private final Map<String, CapacityTarget> targets = new TreeMap<>();

	private final Map<String, Long> cacheTokens = new HashMap<>();

	DemandTargets(double reserve) {
		this.reserve = reserve;
	}

	/**
	 * Observe the demand.
	 * @param pools the pools that are ordered
	 * @param fleet the endpoints
	 * @param demand what the entry VMs told
	 * @param provisions what is recorded of the pools, as far as it is known
	 * @param now the monotonic time in nanoseconds
	 */
	void observe(List<Pool> pools, Fleet fleet, FleetDemand demand, Map<String, PoolProvision> provisions, long now) {
		if (fleet.revision() == 0 || demand.pools().isEmpty()) {
			this.targets.values().forEach((target) -> target.unknown(now));
			return;
		}
		for (Pool pool : pools) {
			// The rates of engines with another cache are others.
			Long known = this.cacheTokens.put(pool.name(), pool.engineTokens());
			if (known != null && known != pool.engineTokens()) {
				this.targets.remove(pool.name());
			}
			int serving = serving(pool, fleet).values().stream().mapToInt(Integer::intValue).sum();
			this.targets.computeIfAbsent(pool.name(), (name) -> new CapacityTarget(pool, this.reserve))
				.observe(demand.of(pool.name()), demand.complete() && demand.pools().containsKey(pool.name()), serving,
						enough(provisions.get(pool.name())), now);
		}
	}

	private static OptionalInt enough(PoolProvision provision) {
		return (provision != null)
				? OptionalInt.of(provision.counts().values().stream().mapToInt(Integer::intValue).sum())
				: OptionalInt.empty();
	}

	/** Another control VM may have ordered. */
	void restart() {
		this.targets.values().forEach(CapacityTarget::restart);
	}

	/**
	 * Plan the orders of a pool.
	 * @param pool the pool, which has scaling
	 * @param initial the number of endpoints by data centre that a first plan begins with
	 * @param serving the number of endpoints that serve by data centre
	 * @param unavailable the data centres that supply no endpoints
	 * @param now the monotonic time in nanoseconds
	 * @return the number of endpoints by data centre, empty if the demand is not known
	 */
	Map<String, Integer> plan(Pool pool, Map<String, Integer> initial, Map<String, Integer> serving,
			Set<String> unavailable, long now) {
		CapacityTarget target = this.targets.get(pool.name());
		return (target != null) ? target.plan(pool.scaling().orElseThrow(), initial, serving, unavailable, now)
				: Map.of();
	}

	/**
	 * Return the highest need of a pool within half a minute.
	 * @param pool the name of the pool
	 * @param now the monotonic time in nanoseconds
	 * @return the number of endpoints, empty if it is not known
	 */
	OptionalDouble peak(String pool, long now) {
		CapacityTarget target = this.targets.get(pool);
		double peak = (target != null) ? target.peak(now) : 0;
		return (peak > 0) ? OptionalDouble.of(peak) : OptionalDouble.empty();
	}

	static Map<String, Integer> serving(Pool pool, Fleet fleet) {
		Map<String, Integer> counts = new TreeMap<>();
		fleet.endpoints()
			.stream()
			.filter((endpoint) -> endpoint.pool().equals(pool.name()) && !endpoint.leaving())
			.map(FleetEndpoint::dataCentre)
			.forEach((dataCentre) -> counts.merge(dataCentre, 1, Integer::sum));
		return counts;
	}

}
