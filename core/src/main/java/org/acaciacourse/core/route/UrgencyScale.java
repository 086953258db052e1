package org.acaciacourse.core.route;

import java.util.Collection;
import java.util.List;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeSet;

/**
 * The order of the requests of one table, as the few ranks that endpoints understand. A
 * customer's priority goes before its route's, and the route's decides between requests
 * of equal customers. Where all customers have the same priority, as most have, engines
 * would otherwise serve in the order of arrival, and a short prompt with a target of
 * 400 ms waits for seconds behind long ones that may take longer.
 * <p>
 * A rank is the position of the two priorities among all pairs that the table can yield,
 * so that levels which nobody uses take no rank. With more pairs than ranks neighbours
 * share one. Invariant: a request that goes before another one has no higher rank.
 * <p>
 * Immutable and thread safe.
 */
final class UrgencyScale {

	/** The ranks that an endpoint tells apart, 0 is the highest. */
	static final int RANKS = 10;

	private final List<Integer> first;

	private final List<Integer> second;

	/**
	 * Make the scale of a table.
	 * @param routes the routes
	 * @param owners the customers
	 */
	UrgencyScale(Collection<Route> routes, Collection<KeyOwner> owners) {
		NavigableSet<Integer> ofRoutes = new TreeSet<>();
		routes.forEach((route) -> ofRoutes.add(route.priority()));
		NavigableSet<Integer> ofCustomers = new TreeSet<>();
		owners.stream().map(KeyOwner::priority).flatMapToInt(OptionalInt::stream).forEach(ofCustomers::add);
		if (isRouteLeading(routes, owners)) {
			ofCustomers.addAll(ofRoutes);
		}
		this.first = List.copyOf(ofCustomers);
		this.second = List.copyOf(ofRoutes);
	}

	private static boolean isRouteLeading(Collection<Route> routes, Collection<KeyOwner> owners) {
		return owners.isEmpty() || owners.stream().anyMatch((owner) -> owner.priority().isEmpty())
				|| routes.stream().anyMatch(Route::anonymous);
	}

	/**
	 * Return the rank of a request.
	 * @param route its route, one of the table
	 * @param owner its customer, one of the table, if there is any
	 * @return 0 for the highest, less than {@link #RANKS}
	 */
	int rank(Route route, Optional<KeyOwner> owner) {
		int leading = owner.map(KeyOwner::priority).orElse(OptionalInt.empty()).orElse(route.priority());
		int pair = this.first.indexOf(leading) * this.second.size() + this.second.indexOf(route.priority());
		int pairs = this.first.size() * this.second.size();
		return (pairs <= RANKS) ? pair : pair * RANKS / pairs;
	}

}
