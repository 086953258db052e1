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
 * Maps the priorities of the requests of one table to the few ranks that endpoints
 * distinguish. The customer's priority takes precedence over the route's, and the route's
 * orders the requests of customers with equal priority. Where all customers have the same
 * priority, as is common, engines would otherwise serve requests in the order of arrival,
 * and a short prompt with a target of 400 ms would wait for seconds behind long ones with
 * longer targets.
 * <p>
 * A rank is the position of a pair of priorities in the sorted list of all pairs that can
 * occur in the table, so that unused priorities take no rank. If there are more pairs
 * than ranks, neighbouring pairs share a rank. Invariant: a request that takes precedence
 * over another one does not have a numerically higher rank.
 * <p>
 * Deferred requests, which will miss their target in any case, get a rank behind the
 * other requests of the same customer priority, provided that every pair still gets a
 * rank of its own. Only pairs that can occur are counted: with one anonymous route and
 * all customers of one priority, the product of all priority levels would leave no rank
 * for deferred requests.
 * <p>
 * In a scale with ranks for customer shares, the requests of a pair that are over share
 * have a rank behind the others of the pair and, like those, before all pairs of lower
 * priority. Behind the last pair of a customer priority, they also come after its
 * deferred requests: these would otherwise wait until the customers over share have no
 * more requests. If there are not enough ranks, the least urgent pairs get them, whose
 * requests wait for longest in a shortage; over-share requests of the others keep the
 * rank of their pair.
 * <p>
 * Immutable and thread safe.
 */
final class UrgencyScale {

	/** The number of ranks that an endpoint distinguishes, 0 is the highest. */
	static final int RANKS = 10;

	/**
	 * Replaces the route's priority for deferred requests and sorts behind all routes.
	 */
	private static final long DEFERRED = Integer.MAX_VALUE;

	/** Sorts requests over share right behind the others of their pair. */
	private static final long OVER_SHARE = 1;

	private final Map<String, Integer> leastUrgentByPool = new HashMap<>();

	private final List<Long> pairs;

	private final boolean hasDeferredRanks;

	/** The position among the pairs by pair, for requests that are over share. */
	private final Map<Long, Long> overShare = new HashMap<>();

	/**
	 * Create the scale of a table without ranks for customer shares.
	 * @param routes the routes
	 * @param owners the customers
	 */
	UrgencyScale(Collection<Route> routes, Collection<KeyOwner> owners) {
		this(routes, owners, false);
	}

	/**
	 * Create the scale of a table.
	 * @param routes the routes
	 * @param owners the customers
	 * @param withShares whether requests over share have ranks of their own
	 */
	UrgencyScale(Collection<Route> routes, Collection<KeyOwner> owners, boolean withShares) {
		routes.forEach((route) -> route.shares()
			.forEach((share) -> this.leastUrgentByPool.merge(share.pool(), route.priority(), Math::max)));
		// Thousands of customers share a few priorities.
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
		NavigableSet<Long> ranked = (this.hasDeferredRanks) ? withDeferred : regular;
		if (withShares) {
			addOverShare(regular, ranked);
		}
		this.pairs = List.copyOf(ranked);
	}

	private void addOverShare(NavigableSet<Long> regular, NavigableSet<Long> ranked) {
		int left = Math.max(0, RANKS - ranked.size());
		List<Long> leastUrgentFirst = regular.descendingSet().stream().limit(left).toList();
		leastUrgentFirst.forEach((pair) -> {
			long deferred = pair(customerPriority(pair), DEFERRED);
			Long next = regular.higher(pair);
			boolean last = next == null || customerPriority(next) != customerPriority(pair);
			this.overShare.put(pair, ((last && ranked.contains(deferred)) ? deferred : pair) + OVER_SHARE);
		});
		ranked.addAll(this.overShare.values());
	}

	// Only routes of the same pools count: requests of other pools wait at other
	// endpoints.
	private boolean isLeastUrgent(Route route) {
		return route.shares()
			.stream()
			.allMatch((share) -> this.leastUrgentByPool.get(share.pool()) == route.priority());
	}

	// The customer priorities that requests of a route can have. Anonymous requests and
	// customers without a priority have that of the route.
	private static IntStream customerPriorities(Route route, List<OptionalInt> declaredPriorities) {
		IntStream declared = declaredPriorities.stream().mapToInt((priority) -> priority.orElse(route.priority()));
		boolean anonymous = declaredPriorities.isEmpty() || route.anonymous();
		return (anonymous) ? IntStream.concat(declared, IntStream.of(route.priority())) : declared;
	}

	// Encodes a pair so that it sorts by the customer's priority, then by the route's.
	// The last bit is left for requests over share.
	private static long pair(int customerPriority, long routePriority) {
		return ((long) customerPriority << Integer.SIZE) + (routePriority << 1);
	}

	private static int customerPriority(long pair) {
		return (int) (pair >> Integer.SIZE);
	}

	/**
	 * Return the rank of a request that is over its customer's share.
	 * @param route its route, one of the table
	 * @param owner its customer, one of the table, if there is any
	 * @return the rank, empty if the scale has none for its pair
	 */
	OptionalInt overShareRank(Route route, Optional<KeyOwner> owner) {
		Long position = this.overShare.get(pair(priority(route, owner), route.priority()));
		return (position != null) ? OptionalInt.of(rankOf(position)) : OptionalInt.empty();
	}

	/**
	 * Return the rank of a deferred request, which will miss its target in any case. It
	 * lies behind all other requests of customers with the same priority and before those
	 * of customers with a lower priority.
	 * @param route its route, one of the table
	 * @param owner its customer, one of the table, if there is any
	 * @return the rank, empty if no rank is left or a route of its pools is less urgent:
	 * the requests of that route would be served before it
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
