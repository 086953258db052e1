package org.acaciacourse.core.balance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import com.google.common.collect.Range;
import org.acaciacourse.core.route.FleetEndpoint;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CandidateSamplerTests extends BalancerTestBase {

	private static final long MILLI = 1_000_000;

	@Nested
	class Share {

		private final PeerLoads peers = new PeerLoads();

		private final CandidateSampler sample = new CandidateSampler(this.peers);

		private void receiveDigests(int vms, long pauseMillis) {
			for (int number = 1; number <= 30; number++) {
				for (int vm = 0; vm < vms; vm++) {
					this.peers.receive("vm" + vm, number, List.of(), number * pauseMillis * MILLI);
				}
			}
		}

		private void sendRequests(int perSecond, long until) {
			for (long at = until - 3_000 * MILLI; at < until; at += 1_000 * MILLI / perSecond) {
				this.sample.requestSent(at);
			}
		}

		@Test
		void allAreComparedWithoutPeers() {
			sendRequests(100, 5_000 * MILLI);
			assertThat(this.sample.share(2, 5_000 * MILLI)).isEqualTo(1.0);
		}

		@Test
		void allAreComparedWhileFewRequestsAreUnreported() {
			receiveDigests(8, 80);
			sendRequests(4, 5_000 * MILLI);
			assertThat(this.sample.share(2, 5_000 * MILLI)).isEqualTo(1.0);
		}

		@Test
		void fewAreComparedWhenManyRequestsAreUnreported() {
			receiveDigests(76, 760);
			sendRequests(8, 30_000 * MILLI);
			// 8 requests x 76 VMs x 0.38 s = 231
			assertThat(this.sample.share(2, 30_000 * MILLI)).isWithin(0.002).of(2 / 231.0);
		}

		@Test
		void idleVmComparesAllAgain() {
			receiveDigests(76, 760);
			sendRequests(8, 30_000 * MILLI);
			assertThat(this.sample.share(2, 40_000 * MILLI)).isEqualTo(1.0);
		}

		private static long drawn(double share, int endpoints, long salt) {
			CandidateSampler.Draw draw = new CandidateSampler.Draw(share, endpoints, salt);
			return IntStream.range(0, endpoints).filter((i) -> draw.isNextDrawn(1)).count();
		}

		@Test
		void atLeastTwoAreCompared() {
			assertThat(drawn(0.001, 98, 5)).isEqualTo(2);
			assertThat(drawn(0.001, 1, 6)).isEqualTo(1);
			assertThat(drawn(0.1, 98, 7)).isEqualTo(10);
			assertThat(drawn(1, 98, 8)).isEqualTo(98);
			assertThat(drawn(1, 0, 9)).isEqualTo(0);
		}

		// The reserved engines are adjacent in hash order: with a random start among all
		// engines, two of them would get what all entry VMs send.
		@Test
		void enginesOfOneKindAreEquallyLikely() {
			PoolBalancer balancer = new PoolBalancer(this.peers, (instance) -> true);
			balancer.endpoints(endpoints(96));
			receiveDigests(76, 760);
			Map<String, Integer> chosen = new HashMap<>();
			for (int i = 0; i < 2_400; i++) {
				Placement request = new Placement(new PromptShape(500, 1, List.of()), false, true, i, Set.of());
				long at = 25_000 * MILLI + i * 10 * MILLI;
				String instance = balancer.choose(request, at).map(FleetEndpoint::instance).orElseThrow();
				balancer.begin(instance, request, QueuePosition.BEHIND_OTHERS, at).end(Outcome.GOOD, at);
				chosen.merge(instance, 1, Integer::sum);
			}
			assertThat(chosen).hasSize(24);
			chosen.values().forEach((count) -> assertThat(count).isIn(Range.closed(60, 140)));
		}

	}

	// Many entry VMs exchange digests only every 0.8 s and send 160 requests per second
	// of 3 s each to 50 engines with 16 slots, which is about 10 running on each. If all
	// entry VMs choose the engine that was least loaded in the last digests, it receives
	// a herd of requests: callers wait for a slot there while others are free.
	@Nested
	class ManyEntryVms {

		private static final int ENTRY_VMS = 40;

		private static final int ENGINES = 50;

		private static final int SLOTS = 16;

		private static final int DIGEST_INTERVAL_MILLIS = 800;

		private final List<PeerLoads> peers = new ArrayList<>();

		private final List<PoolBalancer> balancers = new ArrayList<>();

		private final Deque<Run> runs = new ArrayDeque<>();

		private final Map<String, Integer> running = new HashMap<>();

		private int waiting;

		private void createVms(RoutingPolicy policy) {
			for (int i = 0; i < ENTRY_VMS; i++) {
				PeerLoads peerLoads = new PeerLoads();
				PoolBalancer balancer = new PoolBalancer(peerLoads, (instance) -> true);
				balancer.endpoints(endpoints(ENGINES));
				balancer.policy(policy);
				this.peers.add(peerLoads);
				this.balancers.add(balancer);
			}
		}

		private void sendDigests(int from, long at, long number) {
			List<PeerLoads.Load> loads = this.balancers.get(from).localLoads();
			for (int to = 0; to < ENTRY_VMS; to++) {
				if (to != from) {
					this.peers.get(to).receive("vm" + from, number, loads, at);
				}
			}
		}

		private void send(PoolBalancer balancer, long salt, long at) {
			Placement request = new Placement(PromptShape.NONE, false, false, salt, Set.of());
			String instance = balancer.choose(request, at).map(FleetEndpoint::instance).orElseThrow();
			this.runs.add(new Run(balancer.begin(instance, request, QueuePosition.BEHIND_OTHERS, at), instance,
					at + 3_000 * MILLI));
			if (this.running.merge(instance, 1, Integer::sum) > SLOTS) {
				this.waiting++;
			}
		}

		private void endUntil(long at) {
			while (!this.runs.isEmpty() && this.runs.peek().endsAt() <= at) {
				Run run = this.runs.poll();
				run.placed().end(Outcome.GOOD, at);
				this.running.merge(run.instance(), -1, Integer::sum);
			}
		}

		private int simulate() {
			Random random = new Random(7);
			for (int milli = 0; milli < 10_000; milli++) {
				long at = milli * MILLI;
				endUntil(at);
				for (int vm = 0; vm < ENTRY_VMS; vm++) {
					if (milli % DIGEST_INTERVAL_MILLIS == vm * DIGEST_INTERVAL_MILLIS / ENTRY_VMS) {
						sendDigests(vm, at, milli + 1);
					}
				}
				if (random.nextInt(1_000) < 160) {
					send(this.balancers.get(random.nextInt(ENTRY_VMS)), random.nextLong(), at);
				}
			}
			return this.waiting;
		}

		// At most one in a hundred of some 1,600 requests may find all slots taken.
		@Test
		void fewWaitForASlot() {
			createVms(RoutingPolicy.DEFAULT);
			assertThat(simulate()).isAtMost(16);
		}

		@Test
		void manyWaitWithoutSampling() {
			createVms(new RoutingPolicy("all", Set.of(RoutingMechanism.SAMPLED_CHOICE), Map.of()));
			assertThat(simulate()).isAtLeast(100);
		}

		private record Run(PlacedRequest placed, String instance, long endsAt) {
		}

	}

}
