package org.acaciacourse.core.route;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class UrgencyScaleTests {

	private static Route route(int priority, boolean anonymous) {
		return route(priority, anonymous, "llm");
	}

	private static Route route(int priority, boolean anonymous, String pool) {
		return new Route("r" + priority, "h.example", "/" + priority + "/", RequestKind.STREAM, false,
				Duration.ofSeconds(6), Duration.ofSeconds(1), Duration.ZERO, priority, List.of(new PoolShare(pool, 1)),
				1, anonymous, true);
	}

	private static Route route(int priority) {
		return route(priority, false);
	}

	private static KeyOwner owner(OptionalInt priority) {
		return new KeyOwner("c" + priority, List.of("k" + priority), priority);
	}

	private static int rank(UrgencyScale scale, int route, int owner) {
		return scale.rank(route(route), Optional.of(owner(OptionalInt.of(owner))));
	}

	@Nested
	class OrderAtAnEngine {

		private final List<Route> routes = List.of(route(0), route(1), route(2));

		/*
		 * Guards against short prompts (target 400 ms) starving behind a burst of long
		 * ones (target 1.5 s) at all engines. Engines admit the more urgent requests
		 * first, but all requests had the same rank, because all customers have the same
		 * priority and it replaced the route's.
		 */
		@Test
		void routesOfEqualCustomersGetDistinctRanks() {
			UrgencyScale scale = new UrgencyScale(this.routes, List.of(owner(OptionalInt.of(1))));
			assertThat(rank(scale, 0, 1)).isLessThan(rank(scale, 1, 1));
			assertThat(rank(scale, 1, 1)).isLessThan(rank(scale, 2, 1));
		}

		@Test
		void customerPriorityTakesPrecedence() {
			UrgencyScale scale = new UrgencyScale(this.routes,
					List.of(owner(OptionalInt.of(0)), owner(OptionalInt.of(1))));
			assertThat(rank(scale, 2, 0)).isLessThan(rank(scale, 0, 1));
		}

		@Test
		void withoutCustomersTheRouteDecides() {
			UrgencyScale scale = new UrgencyScale(this.routes, List.of());
			assertThat(scale.rank(route(0), Optional.empty())).isLessThan(scale.rank(route(1), Optional.empty()));
		}

		@Test
		void customerWithoutAPriorityHasThatOfTheRoute() {
			KeyOwner plain = owner(OptionalInt.empty());
			UrgencyScale scale = new UrgencyScale(this.routes, List.of(owner(OptionalInt.of(1)), plain));
			assertThat(scale.rank(route(0), Optional.of(plain))).isLessThan(rank(scale, 0, 1));
			assertThat(scale.rank(route(2), Optional.of(plain))).isGreaterThan(rank(scale, 2, 1));
		}

		@Test
		void anonymousRequestHasThePriorityOfItsRoute() {
			Route open = route(0, true);
			UrgencyScale scale = new UrgencyScale(List.of(open, route(1)), List.of(owner(OptionalInt.of(1))));
			assertThat(scale.rank(open, Optional.empty())).isLessThan(rank(scale, 0, 1));
		}

	}

	// Of the least urgent routes, requests that will miss their target in any case wait
	// behind those that can still meet it, but before those of customers with a lower
	// priority.
	@Nested
	class Deferred {

		private final List<Route> routes = List.of(route(0), route(1));

		private final KeyOwner high = owner(OptionalInt.of(0));

		private final KeyOwner low = owner(OptionalInt.of(1));

		private final UrgencyScale scale = new UrgencyScale(this.routes, List.of(this.high, this.low));

		@Test
		void ranksBehindItsOwnRoutesAndBeforeLowerCustomers() {
			int deferred = this.scale.deferredRank(route(1), Optional.of(this.high)).getAsInt();
			assertThat(deferred).isGreaterThan(rank(this.scale, 1, 0));
			assertThat(deferred).isLessThan(rank(this.scale, 0, 1));
		}

		/*
		 * All customers have the same priority and one route is anonymous. Guards against
		 * a burst in which all long prompts missed their target because none was
		 * deferred: the priorities that only anonymous requests have were multiplied by
		 * all routes, which left no rank for deferred requests.
		 */
		@Test
		void anonymousRoutesLeaveRoomForDeferredRanks() {
			List<Route> several = List.of(route(0), route(1), route(2, true));
			KeyOwner customer = owner(OptionalInt.of(1));
			UrgencyScale scale = new UrgencyScale(several, List.of(customer));
			int deferred = scale.deferredRank(route(2, true), Optional.of(customer)).getAsInt();
			assertThat(deferred).isGreaterThan(rank(scale, 2, 1));
			assertThat(deferred).isLessThan(scale.rank(route(2, true), Optional.empty()));
			assertThat(scale.rank(route(2, true), Optional.empty()))
				.isLessThan(scale.deferredRank(route(2, true), Optional.empty()).getAsInt());
		}

		/*
		 * The calls of a plain service are less urgent than any prompt, but wait at other
		 * endpoints. They must not keep late prompts from being deferred behind other
		 * prompts.
		 */
		@Test
		void routesOfOtherPoolsDoNotCount() {
			Route calls = route(5, false, "service");
			UrgencyScale withCalls = new UrgencyScale(List.of(route(0), route(1), calls), List.of(this.high));
			assertThat(withCalls.deferredRank(route(1), Optional.of(this.high)).isPresent()).isTrue();
			assertThat(withCalls.deferredRank(calls, Optional.of(this.high)).isPresent()).isTrue();
			assertThat(withCalls.deferredRank(route(0), Optional.of(this.high))).isEqualTo(OptionalInt.empty());
		}

		@Test
		void moreUrgentRoutesAreNotDeferred() {
			assertThat(this.scale.deferredRank(route(0), Optional.of(this.high))).isEqualTo(OptionalInt.empty());
		}

	}

	@Nested
	class OverShare {

		private static List<KeyOwner> owners(int count) {
			return IntStream.range(0, count).mapToObj((i) -> owner(OptionalInt.of(i))).toList();
		}

		@Test
		void ranksBehindItsPairAndBeforeTheNextOne() {
			List<Route> routes = List.of(route(0), route(1), route(2));
			List<KeyOwner> owners = owners(1);
			UrgencyScale scale = new UrgencyScale(routes, owners, true);
			Optional<KeyOwner> owner = Optional.of(owners.get(0));
			List<Integer> ranks = List.of(scale.rank(route(0), owner), scale.overShareRank(route(0), owner).getAsInt(),
					scale.rank(route(1), owner), scale.overShareRank(route(1), owner).getAsInt(),
					scale.rank(route(2), owner), scale.deferredRank(route(2), owner).getAsInt(),
					scale.overShareRank(route(2), owner).getAsInt());
			assertThat(ranks).containsExactly(0, 1, 2, 3, 4, 5, 6).inOrder();
		}

		/*
		 * Endpoints preempt by rank. Guards against a request that is preempted while
		 * less urgent ones run, in tables with and without enough ranks.
		 */
		@Test
		void isNeverBehindALowerPair() {
			for (int levels = 1; levels <= 7; levels++) {
				for (int customers = 1; customers <= 5; customers++) {
					List<Route> routes = IntStream.range(0, levels)
						.mapToObj((i) -> route(i * 3, i % 2 == 0, (i % 3 == 0) ? "llm" : "other"))
						.toList();
					assertOrdered(routes, owners(customers));
				}
			}
		}

		private void assertOrdered(List<Route> routes, List<KeyOwner> owners) {
			UrgencyScale scale = new UrgencyScale(routes, owners, true);
			int highest = 0;
			for (KeyOwner owner : owners) {
				for (Route route : routes) {
					int rank = scale.rank(route, Optional.of(owner));
					assertThat(rank).isAtLeast(highest);
					int over = scale.overShareRank(route, Optional.of(owner)).orElse(rank);
					assertThat(over).isAtLeast(rank);
					assertThat(over).isLessThan(UrgencyScale.RANKS);
					highest = over;
				}
			}
		}

		// Six pairs and two deferred ranks leave two of the ten ranks.
		@Test
		void leastUrgentPairsGetTheRanksThatAreLeft() {
			List<Route> routes = List.of(route(0), route(1), route(2));
			List<KeyOwner> owners = owners(2);
			UrgencyScale scale = new UrgencyScale(routes, owners, true);
			Optional<KeyOwner> low = Optional.of(owners.get(1));
			assertThat(scale.overShareRank(route(2), low)).isEqualTo(OptionalInt.of(9));
			assertThat(scale.overShareRank(route(1), low).isPresent()).isTrue();
			assertThat(scale.overShareRank(route(0), low)).isEqualTo(OptionalInt.empty());
			assertThat(scale.overShareRank(route(2), Optional.of(owners.get(0)))).isEqualTo(OptionalInt.empty());
			assertThat(scale.rank(route(2), low)).isLessThan(scale.deferredRank(route(2), low).getAsInt());
		}

		// Where shares are off, endpoints get the same ranks as before.
		@Test
		void scaleWithoutSharesHasNone() {
			UrgencyScale scale = new UrgencyScale(List.of(route(0), route(1)), owners(1));
			Optional<KeyOwner> owner = Optional.of(owners(1).get(0));
			assertThat(scale.overShareRank(route(1), owner)).isEqualTo(OptionalInt.empty());
			assertThat(scale.rank(route(1), owner)).isEqualTo(1);
			assertThat(scale.deferredRank(route(1), owner)).isEqualTo(OptionalInt.of(2));
		}

	}

	@Nested
	class ManyLevels {

		/*
		 * Three customer priorities and three route priorities fill nine of the ten
		 * ranks. Ranks for deferred requests would make two pairs share one, and short
		 * prompts of the first customers would wait behind longer ones again.
		 */
		@Test
		void pairsThatFitGetDistinctRanksWithoutDeferredRanks() {
			List<Route> routes = List.of(route(0), route(1), route(2));
			List<KeyOwner> owners = IntStream.range(0, 3).mapToObj((i) -> owner(OptionalInt.of(i))).toList();
			UrgencyScale scale = new UrgencyScale(routes, owners);
			List<Integer> ranks = owners.stream()
				.flatMap((owner) -> routes.stream().map((route) -> scale.rank(route, Optional.of(owner))))
				.toList();
			assertThat(ranks).isInStrictOrder();
			assertThat(scale.deferredRank(route(2), Optional.of(owners.get(0)))).isEqualTo(OptionalInt.empty());
		}

		/*
		 * Seven customer priorities and eight route priorities make more pairs than
		 * ranks.
		 */
		@Test
		void ranksStayWithinTheBoundAndInOrder() {
			List<Route> routes = IntStream.range(0, 8).mapToObj((i) -> route(i * 3)).toList();
			List<KeyOwner> owners = IntStream.range(0, 7).mapToObj((i) -> owner(OptionalInt.of(i * 5))).toList();
			UrgencyScale scale = new UrgencyScale(routes, owners);
			int before = 0;
			for (KeyOwner owner : owners) {
				for (Route route : routes) {
					int rank = scale.rank(route, Optional.of(owner));
					assertThat(rank).isAtLeast(before);
					assertThat(rank).isLessThan(UrgencyScale.RANKS);
					before = rank;
				}
			}
			assertThat(before).isEqualTo(UrgencyScale.RANKS - 1);
		}

	}

}
