package org.acaciacourse.core.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.acaciacourse.core.route.FleetEndpoint;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Many users come at once with long prompts, of which most tokens are shared by all that
 * ask about the same thing, and the engines hold none of these yet. Things are not
 * equally popular, and hashing puts several on one engine: its callers wait for seconds
 * while others read nothing.
 */
class ColdBurstTests extends BalancerTestBase {

	private static final long MILLI = 1_000_000;

	private static final int ENTRIES = 17;

	private static final int ENGINES = 14;

	/** Beside answers that run, whose tokens come between the chunks of a prompt. */
	private static final double TOKENS_PER_MILLI = 25;

	private static final long SHARED = 13_300;

	private static final long OWN = 3_720;

	private static final long MEMORY_FOR_PARTS = 270_000;

	private static final int THINGS = 200;

	private static final int PER_SECOND = 20;

	private static final int SECONDS = 9;

	private static final long TARGET_MILLIS = 2_000;

	private static final int SEEDS = 10;

	private static final RoutingPolicy WITHOUT_SECOND_HOME = new RoutingPolicy("one-home",
			Set.of(RoutingMechanism.SECOND_HOME), Map.of());

	private static final int PAUSE_MILLIS = 10 * ENTRIES;

	private final List<PeerLoads> heard = new ArrayList<>();

	private final List<PoolBalancer> balancers = new ArrayList<>();

	private final Map<String, Engine> engines = new HashMap<>();

	private final PriorityQueue<Reading> readings = new PriorityQueue<>((a, b) -> Long.compare(a.readAt(), b.readAt()));

	private int late;

	private int asked;

	private long readTokens;

	private void make(RoutingPolicy policy) {
		for (int i = 0; i < ENTRIES; i++) {
			PeerLoads told = new PeerLoads();
			PoolBalancer next = new PoolBalancer(told, (instance) -> true);
			next.endpoints(endpoints(ENGINES));
			next.engineTokens(2 * MEMORY_FOR_PARTS);
			next.policy(policy);
			this.heard.add(told);
			this.balancers.add(next);
		}
		endpoints(ENGINES).forEach((endpoint) -> this.engines.put(endpoint.instance(), new Engine()));
	}

	private void tell(int from, long at, long number) {
		List<PeerLoads.Load> loads = this.balancers.get(from).own();
		List<PartUse> uses = this.balancers.get(from).takeUntold();
		for (int to = 0; to < ENTRIES; to++) {
			if (to != from) {
				this.heard.get(to).take("vm" + from, number, loads, at);
				uses.forEach(this.balancers.get(to)::told);
			}
		}
	}

	private void send(PoolBalancer entry, long thing, long own, long at) {
		PromptShape shape = new PromptShape(SHARED + OWN, 100,
				List.of(new PromptShape.Part(thing, SHARED), new PromptShape.Part(own, OWN)));
		Placement request = new Placement(shape, true, false, own, Set.of());
		String instance = entry.choose(request, at).map(FleetEndpoint::instance).orElseThrow();
		PlacedRequest placed = entry.begin(instance, request, Turn.AFTER_OTHERS, at);
		long readAt = this.engines.get(instance).read(thing, shape, at);
		this.readings.add(new Reading(placed, at, readAt));
		this.asked++;
		this.late += (readAt - at > TARGET_MILLIS * MILLI) ? 1 : 0;
	}

	private void readUntil(long at) {
		while (!this.readings.isEmpty() && this.readings.peek().readAt() <= at) {
			Reading done = this.readings.poll();
			done.placed().streamBegan(done.readAt() - done.sentAt());
			done.placed().end(Outcome.GOOD, done.readAt());
		}
	}

	// Some are asked for often: the cube of an equal draw.
	private static long thing(Random random) {
		double drawn = random.nextDouble();
		return 1 + (long) (drawn * drawn * drawn * THINGS);
	}

	private void play(RoutingPolicy policy, long seed) {
		make(policy);
		Random random = new Random(seed);
		for (int milli = 0; milli < SECONDS * 1_000; milli++) {
			long at = milli * MILLI;
			readUntil(at);
			for (int vm = 0; vm < ENTRIES; vm++) {
				if (milli % PAUSE_MILLIS == vm * PAUSE_MILLIS / ENTRIES) {
					tell(vm, at, milli + 1);
				}
			}
			if (random.nextInt(1_000) < PER_SECOND) {
				send(this.balancers.get(random.nextInt(ENTRIES)), thing(random), -1 - random.nextLong(1L << 40), at);
			}
		}
	}

	private static Outcomes play(RoutingPolicy policy) {
		Outcomes sum = new Outcomes(0, 0, 0);
		for (long seed = 1; seed <= SEEDS; seed++) {
			ColdBurstTests burst = new ColdBurstTests();
			burst.play(policy, seed);
			sum = sum.plus(new Outcomes(burst.asked, burst.late, burst.readTokens()));
		}
		return sum;
	}

	@Test
	void fewAreLateAndLittleIsReadTwice() {
		Outcomes with = play(RoutingPolicy.DEFAULT);
		Outcomes without = play(WITHOUT_SECOND_HOME);
		assertThat(with.lateShare()).isLessThan(0.18);
		assertThat(with.readTokens()).isLessThan(without.readTokens() * 105 / 100);
	}

	@Test
	void manyAreLateWhereAPartHasOneHome() {
		assertThat(play(WITHOUT_SECOND_HOME).lateShare()).isGreaterThan(0.28);
	}

	private long readTokens() {
		return this.engines.values().stream().mapToLong((engine) -> engine.readTokens).sum();
	}

	/** Reads prompts one after the other and keeps the parts that were used last. */
	private static final class Engine {

		private final Map<Long, Long> parts = new LinkedHashMap<>(16, 0.75f, true);

		private long freeAt;

		private long readTokens;

		long read(long thing, PromptShape shape, long at) {
			boolean held = this.parts.put(thing, SHARED) != null;
			if (this.parts.size() * SHARED > MEMORY_FOR_PARTS) {
				this.parts.remove(this.parts.keySet().iterator().next());
			}
			long work = shape.work((held) ? SHARED : 0);
			this.readTokens += work;
			this.freeAt = Math.max(at, this.freeAt) + (long) (work / TOKENS_PER_MILLI * MILLI);
			return this.freeAt;
		}

	}

	private record Outcomes(int asked, int late, long readTokens) {

		double lateShare() {
			return (double) this.late / this.asked;
		}

		Outcomes plus(Outcomes other) {
			return new Outcomes(this.asked + other.asked, this.late + other.late, this.readTokens + other.readTokens);
		}

	}

	private record Reading(PlacedRequest placed, long sentAt, long readAt) {
	}

}
