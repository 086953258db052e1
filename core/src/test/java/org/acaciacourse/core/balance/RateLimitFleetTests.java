package org.acaciacourse.core.balance;

import java.util.OptionalDouble;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests of fleets in which endpoints state limits, in simulated time. The bound is the
 * users': in four seconds one and a half times what the limit allows, and five more, from
 * three seconds after it was first stated.
 */
class RateLimitFleetTests {

	private static final long SEEDS = Long.getLong("limit.seeds", 2);

	private static final long CONTACT_NANOS = 3 * RateLimitFleet.SECOND;

	private static final long LIMITED_NANOS = 20 * RateLimitFleet.SECOND;

	private static final long RUN_SECONDS = 17;

	/** Some callers are at entries that have less of the limit than they need. */
	private static final double LEAST_USED = 0.7;

	private static void assertLimitKept(String name, RateLimitFleet fleet, double limit) {
		int most = fleet.mostInAWindow(CONTACT_NANOS);
		assertWithMessage("%s: requests in four seconds at a limit of %s a second", name, limit).that(most)
			.isAtMost((int) (1.5 * 4 * limit + 5));
	}

	// Guards against entries that together exceed what an endpoint takes, and against
	// what
	// it takes and does not get.
	@ParameterizedTest
	@CsvSource({ "6, 13, 1.1, 2", "6, 13, 3.8, 2", "6, 3, 5, 1.5", "9, 8, 0.5, 3", "9, 8, 20, 1.5", "26, 60, 1, 2",
			"95, 300, 1.1, 2", "95, 300, 0.3, 4", "95, 13, 4, 4", "1, 3, 2, 3" })
	void limitsAreKeptAndUsed(int entries, int endpoints, double limit, double demand) {
		LongStream.rangeClosed(1, SEEDS).forEach((seed) -> {
			RateLimitFleet fleet = new RateLimitFleet(entries, endpoints, (entries > 50) ? 20 : 1_000, seed);
			fleet.load(demand * endpoints * limit);
			fleet.run(2 * RateLimitFleet.SECOND);
			fleet.limit(endpoints, OptionalDouble.of(limit));
			fleet.run(LIMITED_NANOS);
			String name = entries + " entries, " + endpoints + " endpoints, seed " + seed;
			double used = fleet.arrivals(CONTACT_NANOS) / (RUN_SECONDS * limit * endpoints);
			System.out.println(name + ": used " + used + ", most " + fleet.mostInAWindow(CONTACT_NANOS));
			assertLimitKept(name, fleet, limit);
			assertWithMessage("%s: part of the limit that is used", name).that(used).isAtLeast(LEAST_USED);
		});
	}

	// Guards against an endpoint that is spared for long after its limit has ended.
	@Test
	void endpointIsUsedAgainOnceItStatesNoLimit() {
		RateLimitFleet fleet = new RateLimitFleet(6, 3, 1_000, 1);
		fleet.load(30);
		fleet.limit(3, OptionalDouble.of(2));
		fleet.run(LIMITED_NANOS);
		fleet.limit(3, OptionalDouble.empty());
		fleet.run(RateLimitFleet.SECOND * 5);
		assertWithMessage("requests after the limit").that(fleet.arrivals(CONTACT_NANOS)).isAtLeast(50);
	}

	// Guards against a share that is divided by the wrong number while VMs come and go.
	@Test
	void limitIsKeptWhileAnEntryLeaves() {
		RateLimitFleet fleet = new RateLimitFleet(12, 13, 1_000, 1);
		fleet.load(60);
		fleet.limit(13, OptionalDouble.of(1.5));
		fleet.run(6 * RateLimitFleet.SECOND);
		fleet.remove(3);
		fleet.run(10 * RateLimitFleet.SECOND);
		fleet.learnOfRemoval();
		fleet.run(10 * RateLimitFleet.SECOND);
		assertLimitKept("an entry leaves", fleet, 1.5);
	}

}
