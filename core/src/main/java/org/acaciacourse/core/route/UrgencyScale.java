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
	private static final long LATE = Integer.MAX_VALUE;

	private final Map<String, Integer> leastUrgent = new HashMap<>();

	private final List<Long> pairs;

	private final boolean hasLate;

	/**
	 * Make the scale of a table.
	 * @param routes the routes
	 * @param owners the customers
	 */
	UrgencyScale(Collection<Route> routes, Collection<KeyOwner> owners) {
		routes.forEach((route) -> route.shares()
			.forEach((share) -> this.leastUrgent.merge(share.pool(), route.priority(), Math::max)));
		// Thousands of customers have a few priorities.
		List<OptionalInt> ofCustomers = owners.stream().map(KeyOwner::priority).distinct().toList();
		NavigableSet<Long> usual = new TreeSet<>();
		routes.forEach(
				(route) -> leading(route, ofCustomers).forEach((first) -> usual.add(pair(first, route.priority()))));
		NavigableSet<Long> withLate = new TreeSet<>(usual);
		routes.stream()
			.filter(this::isLeastUrgent)
			.forEach((route) -> leading(route, ofCustomers).forEach((first) -> withLate.add(pair(first, LATE))));
		this.hasLate = withLate.size() <= RANKS;
		this.pairs = List.copyOf((this.hasLate) ? withLate : usual);
	}

	// Requests of other pools wait at other endpoints.
	private boolean isLeastUrgent(Route route) {
		return route.shares().stream().allMatch((share) -> this.leastUrgent.get(share.pool()) == route.priority());
	}

	// The priorities that requests of a route can have by their customers.
	private static IntStream leading(Route route, List<OptionalInt> ofCustomers) {
		IntStream told = ofCustomers.stream().mapToInt((priority) -> priority.orElse(route.priority()));
		boolean anonymous = ofCustomers.isEmpty() || route.anonymous();
		return (anonymous) ? IntStream.concat(told, IntStream.of(route.priority())) : told;
	}

	// Pairs are ordered by the first number, then by the second one.
	private static long pair(int first, long second) {
		return ((long) first << Integer.SIZE) + second;
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
		return (this.hasLate && isLeastUrgent(route)) ? OptionalInt.of(ranked(pair(priority(route, owner), LATE)))
				: OptionalInt.empty();
	}

	/**
	 * Return the rank of a request.
	 * @param route its route, one of the table
	 * @param owner its customer, one of the table, if there is any
	 * @return 0 for the highest, less than {@link #RANKS}
	 */
	int rank(Route route, Optional<KeyOwner> owner) {
		return ranked(pair(priority(route, owner), route.priority()));
	}

	static int priority(Route route, Optional<KeyOwner> owner) {
		return owner.map(KeyOwner::priority).orElse(OptionalInt.empty()).orElse(route.priority());
	}

	private int ranked(long pair) {
		int position = Collections.binarySearch(this.pairs, pair);
		return (this.pairs.size() <= RANKS) ? position : position * RANKS / this.pairs.size();
	}

}
