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
 * would otherwise serve in the order of arrival, and a short prompt with a target of 400
 * ms waits for seconds behind long ones that may take longer.
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

	// The levels of each customer's priority: those of the routes, and one for what is
	// late
	// if all levels then still have a rank of their own.
	private final int each;

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
		int withLate = this.second.size() + 1;
		this.each = (this.first.size() * withLate <= RANKS) ? withLate : this.second.size();
	}

	private static boolean isRouteLeading(Collection<Route> routes, Collection<KeyOwner> owners) {
		return owners.isEmpty() || owners.stream().anyMatch((owner) -> owner.priority().isEmpty())
				|| routes.stream().anyMatch(Route::anonymous);
	}

	/**
	 * Return the rank of a request that its target passes in any case. It lies below all
	 * requests of equal customers and above those of customers with a lower priority.
	 * @param route its route, one of the table
	 * @param owner its customer, one of the table, if there is any
	 * @return the rank, if there is one to spare and no route of the table is less
	 * urgent: a less urgent request would go before it
	 */
	OptionalInt deferredRank(Route route, Optional<KeyOwner> owner) {
		boolean least = this.second.indexOf(route.priority()) == this.second.size() - 1;
		boolean spare = this.each > this.second.size();
		return (least && spare) ? OptionalInt.of(ranked(leading(route, owner), this.second.size()))
				: OptionalInt.empty();
	}

	/**
	 * Return the rank of a request.
	 * @param route its route, one of the table
	 * @param owner its customer, one of the table, if there is any
	 * @return 0 for the highest, less than {@link #RANKS}
	 */
	int rank(Route route, Optional<KeyOwner> owner) {
		return ranked(leading(route, owner), this.second.indexOf(route.priority()));
	}

	private int leading(Route route, Optional<KeyOwner> owner) {
		return this.first.indexOf(priority(route, owner));
	}

	static int priority(Route route, Optional<KeyOwner> owner) {
		return owner.map(KeyOwner::priority).orElse(OptionalInt.empty()).orElse(route.priority());
	}

	private int ranked(int leading, int following) {
		int level = leading * this.each + following;
		int levels = this.first.size() * this.each;
		return (levels <= RANKS) ? level : level * RANKS / levels;
	}

}
