package org.acaciacourse.core.route;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Stream;

/**
 * The validated routes of one manifest, with the pools and customers that they refer to.
 * Invariants: no two routes have the same host and prefix, every pool that a route names
 * exists, and no key belongs to two customers.
 * <p>
 * Immutable and thread safe.
 */
public final class RouteTable {

	private final long number;

	private final CallerLimits limits;

	private final Map<String, Map<String, Route>> byHost = new HashMap<>();

	private final Map<String, Pool> pools = new HashMap<>();

	private final Map<String, KeyOwner> owners = new HashMap<>();

	private final boolean hasCustomers;

	private final UrgencyScale urgencyScale;

	private final UrgencyScale shareScale;

	RouteTable(long number, CallerLimits limits, List<Route> routes, List<Pool> pools, List<KeyOwner> owners) {
		this.number = number;
		this.limits = Objects.requireNonNull(limits, "limits");
		routes.forEach((route) -> this.byHost.computeIfAbsent(route.host(), (host) -> new HashMap<>())
			.put(route.pathPrefix(), route));
		pools.forEach((pool) -> this.pools.put(pool.name(), pool));
		// A customer without keys is counted: all its keys were revoked, and requests
		// still need a key.
		this.hasCustomers = !owners.isEmpty();
		owners.forEach((owner) -> owner.keys().forEach((key) -> this.owners.put(key, owner)));
		this.urgencyScale = new UrgencyScale(routes, owners);
		this.shareScale = new UrgencyScale(routes, owners, true);
	}

	/**
	 * Return the number of the manifest.
	 * @return the number
	 */
	public long number() {
		return this.number;
	}

	/**
	 * Return the limits on requests of callers.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Find the route of a request: the one with the longest matching prefix among the
	 * routes of its host. Prefixes end with a slash, so only the parts of the path that
	 * end with a slash are looked up.
	 * @param host the host of the request, any port in it is ignored
	 * @param path the path without the query
	 * @return the route, if there is one
	 */
	public Optional<Route> match(String host, String path) {
		Map<String, Route> routes = this.byHost.get(hostName(host));
		if (routes == null) {
			return Optional.empty();
		}
		for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
			Route route = routes.get(path.substring(0, end + 1));
			if (route != null) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	private static String hostName(String host) {
		int colon = host.lastIndexOf(':');
		boolean hasPort = colon > 0 && colon > host.lastIndexOf(']');
		return ((hasPort) ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
	}

	/**
	 * Find the customer that a key belongs to.
	 * @param key the key
	 * @return the customer, if the key is known
	 */
	public Optional<KeyOwner> owner(String key) {
		return Optional.ofNullable(this.owners.get(key));
	}

	/**
	 * Return the rank of a request. Its customer's priority takes precedence over its
	 * route's.
	 * @param route its route, one of this table
	 * @param owner its customer, one of this table, if there is any
	 * @return 0 for the highest, at most 9
	 */
	public int urgency(Route route, Optional<KeyOwner> owner) {
		return this.urgencyScale.rank(route, owner);
	}

	/**
	 * Return the priority of a request: its customer's, or its route's if the customer
	 * has none. Unlike {@link #urgency(Route, Optional)}, it does not order the routes of
	 * customers with equal priority.
	 * @param route its route
	 * @param owner its customer, if there is any
	 * @return 0 for the highest, at most 9
	 */
	public static int priority(Route route, Optional<KeyOwner> owner) {
		return Math.min(UrgencyScale.RANKS - 1, UrgencyScale.priority(route, owner));
	}

	/**
	 * Return the rank of a request that will miss its target in any case.
	 * @param route its route, one of this table
	 * @param owner its customer, one of this table, if there is any
	 * @return the rank, empty if no rank is left for such requests or if another route to
	 * one of its pools is less urgent
	 */
	public OptionalInt deferredUrgency(Route route, Optional<KeyOwner> owner) {
		return this.urgencyScale.deferredRank(route, owner);
	}

	/**
	 * Return the ranks of a request where customers have shares. They may differ from
	 * {@link #urgency} and {@link #deferredUrgency}, as there are more of them.
	 * @param route its route, one of this table
	 * @param owner its customer, one of this table, if there is any
	 * @return the ranks
	 */
	public RequestRanks ranksWithShares(Route route, Optional<KeyOwner> owner) {
		return new RequestRanks(this.shareScale.rank(route, owner), this.shareScale.deferredRank(route, owner),
				this.shareScale.overShareRank(route, owner));
	}

	/**
	 * Return whether requests need a customer's key.
	 * @return whether the table has any customers
	 */
	public boolean requiresCustomerKey() {
		return this.hasCustomers;
	}

	/**
	 * Find a pool.
	 * @param name the name
	 * @return the pool, if there is one
	 */
	public Optional<Pool> pool(String name) {
		return Optional.ofNullable(this.pools.get(name));
	}

	/**
	 * Find the shortest latency target of the routes to a pool.
	 * @param pool the name of the pool
	 * @return the target, empty if no route leads to the pool
	 */
	public Optional<Duration> shortestTarget(String pool) {
		return routesTo(pool).map(Route::target).min(Duration::compareTo);
	}

	/**
	 * Find the shortest event gap target of the routes to a pool.
	 * @param pool the name of the pool
	 * @return the gap, empty if no route to the pool has such a target
	 */
	public Optional<Duration> shortestEventGap(String pool) {
		return routesTo(pool).map(Route::eventGap).filter((gap) -> !gap.isZero()).min(Duration::compareTo);
	}

	private Stream<Route> routesTo(String pool) {
		return this.byHost.values()
			.stream()
			.flatMap((routes) -> routes.values().stream())
			.filter((route) -> route.shares()
				.stream()
				.anyMatch((share) -> share.weight() > 0 && share.pool().equals(pool)));
	}

	/**
	 * Return the pools.
	 * @return all pools
	 */
	public List<Pool> pools() {
		return List.copyOf(this.pools.values());
	}

}
