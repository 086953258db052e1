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
 * The checked routes of one manifest with what they refer to. Invariants: no two routes
 * share host and prefix, every pool that a route names exists, no key has two owners.
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

	RouteTable(long number, CallerLimits limits, List<Route> routes, List<Pool> pools, List<KeyOwner> owners) {
		this.number = number;
		this.limits = Objects.requireNonNull(limits, "limits");
		routes.forEach((route) -> this.byHost.computeIfAbsent(route.host(), (host) -> new HashMap<>())
			.put(route.pathPrefix(), route));
		pools.forEach((pool) -> this.pools.put(pool.name(), pool));
		// A customer without any key is one that lost them all, not one that needs none.
		this.hasCustomers = !owners.isEmpty();
		owners.forEach((owner) -> owner.keys().forEach((key) -> this.owners.put(key, owner)));
		this.urgencyScale = new UrgencyScale(routes, owners);
	}

	/**
	 * Return the number of the manifest.
	 * @return the number
	 */
	public long number() {
		return this.number;
	}

	/**
	 * Return the bounds on callers.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Find the route of a request: of those of its host the one with the longest prefix.
	 * A prefix ends with a slash, so that only the slashes of the path are tried.
	 * @param host the host that the caller names, a port in it does not count
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
	 * Find the owner of a key.
	 * @param key the key
	 * @return the customer, if the key is known
	 */
	public Optional<KeyOwner> owner(String key) {
		return Optional.ofNullable(this.owners.get(key));
	}

	/**
	 * Return the rank of a request: its customer's priority goes before its route's.
	 * @param route its route, one of this table
	 * @param owner its customer, one of this table, if there is any
	 * @return 0 for the highest, at most 9
	 */
	public int urgency(Route route, Optional<KeyOwner> owner) {
		return this.urgencyScale.rank(route, owner);
	}

	/**
	 * Return the priority of a request, its customer's or else its route's, without the
	 * order of the routes of equal customers that {@link #urgency(Route, Optional)}
	 * makes.
	 * @param route its route
	 * @param owner its customer, if there is any
	 * @return 0 for the highest, at most 9
	 */
	public static int priority(Route route, Optional<KeyOwner> owner) {
		return Math.min(UrgencyScale.RANKS - 1, UrgencyScale.priority(route, owner));
	}

	/**
	 * Return the rank of a request that its target passes in any case.
	 * @param route its route, one of this table
	 * @param owner its customer, one of this table, if there is any
	 * @return the rank, if no route of its pools is less urgent
	 */
	public OptionalInt deferredUrgency(Route route, Optional<KeyOwner> owner) {
		return this.urgencyScale.deferredRank(route, owner);
	}

	/**
	 * Return whether requests need a customer's key.
	 * @return whether there is any customer
	 */
	public boolean isKeyed() {
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
	 * Find the shortest target of the routes to a pool.
	 * @param pool the name of the pool
	 * @return the target, if any route leads there
	 */
	public Optional<Duration> shortestTarget(String pool) {
		return routesTo(pool).map(Route::target).min(Duration::compareTo);
	}

	/**
	 * Find the shortest pause between events that a route to a pool aims for.
	 * @param pool the name of the pool
	 * @return the pause, if any route there aims for one
	 */
	public Optional<Duration> shortestGap(String pool) {
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
