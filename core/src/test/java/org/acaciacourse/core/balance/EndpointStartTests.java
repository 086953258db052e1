package org.acaciacourse.core.balance;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.IntStream;

import org.acaciacourse.core.route.FleetEndpoint;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests of what {@link PoolBalancer} keeps of an endpoint that starts again. */
class EndpointStartTests extends BalancerTestBase {

	private final EndpointRests rests = new EndpointRests("");

	private final RateLimits limits = RateLimits.ofSingleVm();

	private final PoolBalancer pool = new PoolBalancer(this.peers, this.limits, this.rests, (instance) -> true);

	private static FleetEndpoint born(String instance, long millis) {
		return new FleetEndpoint(instance, "pool", "127.0.0.1:1", "dc", 64, false, Optional.empty(),
				OptionalLong.of(millis));
	}

	@BeforeEach
	void list() {
		this.pool.endpoints(List.of(born("a", 5), born("b", 5)));
	}

	private boolean isUsable(String instance, long now) {
		Set<String> others = Set.of((instance.equals("a")) ? "b" : "a");
		return this.pool.choose(new Placement(prompt(1), true, false, 1, others), now).isPresent();
	}

	private long workAt(String instance) {
		return begin(this.pool, instance, prompt(1)).workAhead();
	}

	@Nested
	class Listed {

		/*
		 * The cache of the new process is empty. Taken for full, the endpoint gets the
		 * prompts of all callers of a shared part at once and prefills it anew.
		 */
		@Test
		void cacheModelAndLoadEndWithTheRun() {
			long first = workAt("a");
			assertThat(workAt("a") - first).isLessThan(first);
			EndpointStartTests.this.pool.endpoints(List.of(born("a", 9), born("b", 5)));
			assertThat(workAt("a")).isEqualTo(first);
		}

		@Test
		void pauseAndFailuresEndWithTheRun() {
			begin(EndpointStartTests.this.pool, "a", prompt(1)).end(Outcome.LEAVING, 0);
			assertThat(isUsable("a", 1)).isFalse();
			EndpointStartTests.this.pool.endpoints(List.of(born("a", 9), born("b", 5)));
			assertThat(isUsable("a", 1)).isTrue();
		}

		@Test
		void rateLimitEndsWithTheRun() {
			PlacedRequest limited = begin(EndpointStartTests.this.pool, "a", prompt(1));
			limited.reportRateLimit(OptionalDouble.of(0), 0);
			assertThat(isUsable("a", 1)).isFalse();
			EndpointStartTests.this.pool.endpoints(List.of(born("a", 9), born("b", 5)));
			assertThat(isUsable("a", 1)).isTrue();
		}

		/* The endpoint failed if it refused many requests; the new process may not. */
		@Test
		void refusalLimitEndsWithTheRun() {
			PlacedRequest old = begin(EndpointStartTests.this.pool, "a", prompt(1));
			old.reportRefusalLimit(3, 0);
			assertThat(EndpointStartTests.this.pool.refusalLimit(1)).isEqualTo(OptionalInt.of(3));
			EndpointStartTests.this.pool.endpoints(List.of(born("a", 9), born("b", 5)));
			assertThat(EndpointStartTests.this.pool.refusalLimit(1)).isEqualTo(OptionalInt.empty());
			old.reportRefusalLimit(3, 1);
			assertThat(EndpointStartTests.this.pool.refusalLimit(1)).isEqualTo(OptionalInt.empty());
		}

		/*
		 * A response that the process of before has sent is read after the list, and
		 * other VMs have not read the list yet.
		 */
		@Test
		void nothingOlderBringsTheRunBack() {
			PlacedRequest old = begin(EndpointStartTests.this.pool, "a", prompt(1));
			EndpointStartTests.this.pool.endpoints(List.of(born("a", 9), born("b", 5)));
			long fresh = workAt("a");
			old.reportRateLimit(OptionalDouble.of(0), 0);
			old.end(Outcome.LOST, 0);
			EndpointStartTests.this.peers.receive("vm", 1,
					List.of(new PeerLoads.Load(PeerLoads.idOf(born("a", 5).run().key()), 50, 900_000, 0)), 0);
			assertThat(workAt("a")).isLessThan(2 * fresh);
			assertThat(isUsable("a", 1)).isTrue();
		}

		@Test
		void endpointWithTheSameStartKeepsWhatIsKnown() {
			long first = workAt("a");
			EndpointStartTests.this.pool.endpoints(List.of(born("a", 5), born("b", 9)));
			assertThat(workAt("a") - first).isLessThan(first);
		}

	}

	@Nested
	class Unlisted {

		private void loseAll(int requests) {
			List<PlacedRequest> lost = IntStream.range(0, requests)
				.mapToObj((i) -> begin(EndpointStartTests.this.pool, "a", prompt(1)))
				.toList();
			lost.forEach((request) -> {
				request.connectionReset();
				request.end(Outcome.LOST, 0);
			});
		}

		private void answer(int running) {
			PlacedRequest next = begin(EndpointStartTests.this.pool, "a", new PromptShape(10, 1, List.of()));
			next.recordActivity(1);
			next.report(running, 0, OptionalInt.empty(), 1);
			next.end(Outcome.UNKNOWN, 1);
		}

		@Test
		void fewerRequestsAfterTheLossOfAllConnectionsTellOfAStart() {
			long first = begin(EndpointStartTests.this.pool, "b", prompt(1)).workAhead();
			loseAll(4);
			answer(1);
			assertThat(workAt("a")).isEqualTo(first);
		}

		/*
		 * An endpoint that resets all connections drops their requests, too, and looks
		 * like one that has started. It would get requests before the end of the rest
		 * that it asked for.
		 */
		@Test
		void guessOfAStartEndsNoRest() {
			loseAll(4);
			EndpointStartTests.this.rests.ask("a", Duration.ofSeconds(9), 0);
			answer(1);
			assertThat(EndpointStartTests.this.rests.isResting("a", 1)).isTrue();
		}

		/* It would get more requests than it takes, or refuse more than it endures. */
		@Test
		void guessOfAStartEndsNoLimit() {
			PlacedRequest limited = begin(EndpointStartTests.this.pool, "a", prompt(1));
			limited.reportRateLimit(OptionalDouble.of(0), 0);
			limited.reportRefusalLimit(3, 0);
			limited.connectionReset();
			limited.end(Outcome.LOST, 0);
			loseAll(4);
			answer(1);
			assertThat(EndpointStartTests.this.pool.refusalLimit(1)).isEqualTo(OptionalInt.of(3));
			assertThat(isUsable("a", 3_000_000_000L)).isFalse();
		}

		/*
		 * Where endpoints do not state their start, a new process has another id, and one
		 * that answers under the same id runs on.
		 */
		@Test
		void endpointWithoutAStatedStartHasNotStarted() {
			EndpointStartTests.this.pool
				.endpoints(List.of(new FleetEndpoint("a", "pool", "127.0.0.1:1", "dc", 64, false), born("b", 5)));
			long first = begin(EndpointStartTests.this.pool, "b", prompt(1)).workAhead();
			loseAll(4);
			answer(1);
			assertThat(workAt("a")).isLessThan(first);
		}

		/*
		 * An endpoint that is cut off for a while has its cache as before. Taken for
		 * started, it would be asked before the rest ends that it asked for.
		 */
		@Test
		void failuresToConnectTellNothingOfAStart() {
			long first = begin(EndpointStartTests.this.pool, "b", prompt(1)).workAhead();
			for (int i = 0; i < 4; i++) {
				begin(EndpointStartTests.this.pool, "a", prompt(1)).end(Outcome.LOST, 0);
			}
			answer(1);
			assertThat(workAt("a")).isLessThan(first);
		}

		/* A path that was cut loses the connections, and the endpoint runs on. */
		@Test
		void endpointThatRunsThemOnHasNotStarted() {
			long first = begin(EndpointStartTests.this.pool, "b", prompt(1)).workAhead();
			loseAll(4);
			answer(5);
			assertThat(workAt("a")).isLessThan(first);
		}

		@Test
		void connectionThatIsLeftShowsThatItRunsOn() {
			long first = begin(EndpointStartTests.this.pool, "b", prompt(1)).workAhead();
			PlacedRequest left = begin(EndpointStartTests.this.pool, "a", prompt(1));
			loseAll(4);
			left.recordActivity(1);
			answer(1);
			left.streamBegan(1);
			assertThat(workAt("a")).isLessThan(first);
		}

	}

}
