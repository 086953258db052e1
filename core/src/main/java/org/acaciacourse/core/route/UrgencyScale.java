package org.acaciacourse.core.route;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeSet;
import java.util.stream.IntStream;

/**
 * The order of the requests of one table, as the few ranks that endpoints understand. A
 * customer's priority goes before its route's, and the route's decides between requests
 * of equal customers. Where all customers have the same priority, as most have, engines
 * would otherwise serve in the order of arrival, and a short prompt with a target of 400
 * ms waits for seconds behind long ones that may take longer.
 * <p>
 * A rank is the position of the two priorities among all pairs that the table can yield,
 * so that levels which nobody uses take no rank. With more pairs than ranks neighbours
 * share one. Invariant: a request that goes before another one has no higher rank.
 * <p>
 * What is late in any case has a rank of its own behind its equals if all pairs then
 * still have one. Only pairs that occur are counted: with one anonymous route beside
 * customers of one priority the product of all levels would leave no rank for it.
 * <p>
 * Immutable and thread safe.
 */
final class UrgencyScale {

	/** The ranks that an endpoint tells apart, 0 is the highest. */
	static final int RANKS = 10;

	/** In place of a route's priority: behind all of them. */
	private static final long DEFERRED = Integer.MAX_VALUE;

	private final Map<String, Integer> leastUrgentByPool = new HashMap<>();

	private final List<Long> pairs;

	private final boolean hasDeferredRanks;

	/**
	 * Make the scale of a table.
	 * @param routes the routes
	 * @param owners the customers
	 */
	UrgencyScale(Collection<Route> routes, Collection<KeyOwner> owners) {
		routes.forEach((route) -> route.shares()
			.forEach((share) -> this.leastUrgentByPool.merge(share.pool(), route.priority(), Math::max)));
		// Thousands of customers have a few priorities.
		List<OptionalInt> declaredPriorities = owners.stream().map(KeyOwner::priority).distinct().toList();
		NavigableSet<Long> regular = new TreeSet<>();
		routes.forEach((route) -> customerPriorities(route, declaredPriorities)
			.forEach((priority) -> regular.add(pair(priority, route.priority()))));
		NavigableSet<Long> withDeferred = new TreeSet<>(regular);
		routes.stream()
			.filter(this::isLeastUrgent)
			.forEach((route) -> customerPriorities(route, declaredPriorities)
				.forEach((priority) -> withDeferred.add(pair(priority, DEFERRED))));
		this.hasDeferredRanks = withDeferred.size() <= RANKS;
		this.pairs = List.copyOf((this.hasDeferredRanks) ? withDeferred : regular);
	}

	// Requests of other pools wait at other endpoints.
	private boolean isLeastUrgent(Route route) {
		return route.shares()
			.stream()
			.allMatch((share) -> this.leastUrgentByPool.get(share.pool()) == route.priority());
	}

	// The priorities that requests of a route can have by their customers.
	private static IntStream customerPriorities(Route route, List<OptionalInt> declaredPriorities) {
		IntStream declared = declaredPriorities.stream().mapToInt((priority) -> priority.orElse(route.priority()));
		boolean anonymous = declaredPriorities.isEmpty() || route.anonymous();
		return (anonymous) ? IntStream.concat(declared, IntStream.of(route.priority())) : declared;
	}

	// Pairs are ordered by the first number, then by the second one.
	private static long pair(int customerPriority, long routePriority) {
		return ((long) customerPriority << Integer.SIZE) + routePriority;
	}

	/**
	 * Return the rank of a request that its target passes in any case. It lies below all
	 * requests of equal customers and above those of customers with a lower priority.
	 * @param route its route, one of the table
	 * @param owner its customer, one of the table, if there is any
	 * @return the rank, if there is one to spare and no route of its pools is less
	 * urgent: a less urgent request would go before it
	 */
	OptionalInt deferredRank(Route route, Optional<KeyOwner> owner) {
		return (this.hasDeferredRanks && isLeastUrgent(route))
				? OptionalInt.of(rankOf(pair(priority(route, owner), DEFERRED))) : OptionalInt.empty();
	}

	/**
	 * Return the rank of a request.
	 * @param route its route, one of the table
	 * @param owner its customer, one of the table, if there is any
	 * @return 0 for the highest, less than {@link #RANKS}
	 */
	int rank(Route route, Optional<KeyOwner> owner) {
		return rankOf(pair(priority(route, owner), route.priority()));
	}

	static int priority(Route route, Optional<KeyOwner> owner) {
		return owner.map(KeyOwner::priority).orElse(OptionalInt.empty()).orElse(route.priority());
	}

	private int rankOf(long pair) {
		int position = Collections.binarySearch(this.pairs, pair);
		return (this.pairs.size() <= RANKS) ? position : position * RANKS / this.pairs.size();
	}

}
