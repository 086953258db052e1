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
 * A burst of long prompts arrives whose tokens are mostly shared by all requests on the
 * same topic, and no engine has any of them cached. Topics are not equally popular, and
 * hashing maps several popular ones to the same engine: its callers wait for seconds
 * while other engines are idle.
 */
class ColdBurstTests extends BalancerTestBase {

	private static final long MILLI = 1_000_000;

	private static final int ENTRY_VMS = 17;

	private static final int ENGINES = 14;

	/**
	 * The rate beside running answers, whose tokens come between the chunks of a prompt.
	 */
	private static final double TOKENS_PER_MILLI = 25;

	private static final long SHARED_TOKENS = 13_300;

	private static final long OWN_TOKENS = 3_720;

	private static final long CACHE_FOR_PARTS = 270_000;

	private static final int TOPICS = 200;

	private static final int REQUESTS_PER_SECOND = 20;

	private static final int DURATION_SECONDS = 9;

	private static final long TARGET_MILLIS = 2_000;

	private static final int SEEDS = 10;

	private static final RoutingPolicy WITHOUT_SECONDARY_HOME = new RoutingPolicy("one-home",
			Set.of(RoutingMechanism.SECOND_HOME), Map.of());

	private static final int DIGEST_INTERVAL_MILLIS = 10 * ENTRY_VMS;

	private final List<PeerLoads> peerLoads = new ArrayList<>();

	private final List<PoolBalancer> balancers = new ArrayList<>();

	private final Map<String, Engine> engines = new HashMap<>();

	private final PriorityQueue<Prefill> prefills = new PriorityQueue<>((a, b) -> Long.compare(a.doneAt(), b.doneAt()));

	private int late;

	private int requests;

	private long prefillTokens;

	private void createVms(RoutingPolicy policy) {
		for (int i = 0; i < ENTRY_VMS; i++) {
			PeerLoads loads = new PeerLoads();
			PoolBalancer next = new PoolBalancer(loads, (instance) -> true);
			next.endpoints(endpoints(ENGINES));
			next.engineCacheTokens(2 * CACHE_FOR_PARTS);
			next.policy(policy);
			this.peerLoads.add(loads);
			this.balancers.add(next);
		}
		endpoints(ENGINES).forEach((endpoint) -> this.engines.put(endpoint.instance(), new Engine()));
	}

	private void sendDigests(int from, long at, long number) {
		List<PeerLoads.Load> loads = this.balancers.get(from).localLoads();
		List<PartUse> uses = this.balancers.get(from).drainUnreportedUses();
		for (int to = 0; to < ENTRY_VMS; to++) {
			if (to != from) {
				this.peerLoads.get(to).receive("vm" + from, number, loads, at);
				uses.forEach(this.balancers.get(to)::recordPeerUse);
			}
		}
	}

	private void send(PoolBalancer entry, long topic, long own, long at) {
		PromptShape shape = new PromptShape(SHARED_TOKENS + OWN_TOKENS, 100,
				List.of(new PromptShape.Part(topic, SHARED_TOKENS), new PromptShape.Part(own, OWN_TOKENS)));
		Placement request = new Placement(shape, true, false, own, Set.of());
		String instance = entry.choose(request, at).map(FleetEndpoint::instance).orElseThrow();
		PlacedRequest placed = entry.begin(instance, request, QueuePosition.BEHIND_OTHERS, at);
		long doneAt = this.engines.get(instance).prefill(topic, shape, at);
		this.prefills.add(new Prefill(placed, at, doneAt));
		this.requests++;
		this.late += (doneAt - at > TARGET_MILLIS * MILLI) ? 1 : 0;
	}

	private void completePrefills(long at) {
		while (!this.prefills.isEmpty() && this.prefills.peek().doneAt() <= at) {
			Prefill done = this.prefills.poll();
			done.placed().streamBegan(done.doneAt() - done.sentAt());
			done.placed().end(Outcome.GOOD, done.doneAt());
		}
	}

	// The cube of a uniform draw: some topics are much more popular than others.
	private static long drawTopic(Random random) {
		double drawn = random.nextDouble();
		return 1 + (long) (drawn * drawn * drawn * TOPICS);
	}

	private void simulate(RoutingPolicy policy, long seed) {
		createVms(policy);
		Random random = new Random(seed);
		for (int milli = 0; milli < DURATION_SECONDS * 1_000; milli++) {
			long at = milli * MILLI;
			completePrefills(at);
			for (int vm = 0; vm < ENTRY_VMS; vm++) {
				if (milli % DIGEST_INTERVAL_MILLIS == vm * DIGEST_INTERVAL_MILLIS / ENTRY_VMS) {
					sendDigests(vm, at, milli + 1);
				}
			}
			if (random.nextInt(1_000) < REQUESTS_PER_SECOND) {
				send(this.balancers.get(random.nextInt(ENTRY_VMS)), drawTopic(random), -1 - random.nextLong(1L << 40),
						at);
			}
		}
	}

	private static Totals simulate(RoutingPolicy policy) {
		Totals sum = new Totals(0, 0, 0);
		for (long seed = 1; seed <= SEEDS; seed++) {
			ColdBurstTests burst = new ColdBurstTests();
			burst.simulate(policy, seed);
			sum = sum.plus(new Totals(burst.requests, burst.late, burst.prefillTokens()));
		}
		return sum;
	}

	@Test
	void fewRequestsAreLateAndLittleIsPrefilledTwice() {
		Totals with = simulate(RoutingPolicy.DEFAULT);
		Totals without = simulate(WITHOUT_SECONDARY_HOME);
		assertThat(with.lateShare()).isLessThan(0.18);
		assertThat(with.prefillTokens()).isLessThan(without.prefillTokens() * 105 / 100);
	}

	@Test
	void manyRequestsAreLateWithASingleHome() {
		assertThat(simulate(WITHOUT_SECONDARY_HOME).lateShare()).isGreaterThan(0.28);
	}

	private long prefillTokens() {
		return this.engines.values().stream().mapToLong((engine) -> engine.prefillTokens).sum();
	}

	/** Prefills prompts one after the other and caches the most recently used parts. */
	private static final class Engine {

		private final Map<Long, Long> parts = new LinkedHashMap<>(16, 0.75f, true);

		private long freeAt;

		private long prefillTokens;

		long prefill(long topic, PromptShape shape, long at) {
			boolean cached = this.parts.put(topic, SHARED_TOKENS) != null;
			if (this.parts.size() * SHARED_TOKENS > CACHE_FOR_PARTS) {
				this.parts.remove(this.parts.keySet().iterator().next());
			}
			long work = shape.work((cached) ? SHARED_TOKENS : 0);
			this.prefillTokens += work;
			this.freeAt = Math.max(at, this.freeAt) + (long) (work / TOKENS_PER_MILLI * MILLI);
			return this.freeAt;
		}

	}

	private record Totals(int requests, int late, long prefillTokens) {

		double lateShare() {
			return (double) this.late / this.requests;
		}

		Totals plus(Totals other) {
			return new Totals(this.requests + other.requests, this.late + other.late,
					this.prefillTokens + other.prefillTokens);
		}

	}

	private record Prefill(PlacedRequest placed, long sentAt, long doneAt) {
	}

}
