package org.acaciacourse.core.balance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.acaciacourse.core.route.FleetEndpoint;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Entries in virtual time that send more than the endpoints can serve, while these let
 * fewer requests wait and fail if they have to refuse more than they state.
 */
class RefusalLimitTests {

	private static final long MILLI = 1_000_000L;

	private static final long SECOND = 1_000 * MILLI;

	private static final int SLOTS = 6;

	private static final int QUEUE = 4;

	private static final int QUEUE_WHEN_BRITTLE = 1;

	private static final long WORK = 43 * MILLI;

	private static final long TRANSIT = MILLI;

	/** From the first statement of a limit until fewer requests may wait. */
	private static final long NOTICE = 3 * SECOND;

	private static final long END = 15 * SECOND;

	private static final PromptShape NO_PROMPT = PromptShape.NONE;

	/** For how long an endpoint that has failed is gone. */
	private static final long DOWN = 3 * SECOND;

	// Guards against endpoints that fail because entries go on sending what they refuse.
	@ParameterizedTest
	@CsvSource({ "6, 3, 10, 0.9, 1", "6, 3, 10, 1.5, 2", "6, 3, 10, 3, 3", "9, 3, 12, 2, 4", "24, 8, 20, 1.5, 5",
			"6, 12, 8, 1.5, 6", "6, 13, 5, 4, 7" })
	void endpointsThatStateALimitDoNotFail(int vmCount, int endpointCount, int refusals, double load, long seed) {
		Simulation aware = new Simulation(refusals, true);
		aware.play(vmCount, endpointCount, load, seed);
		Simulation unaware = new Simulation(refusals, false);
		unaware.play(vmCount, endpointCount, load, seed);
		int mostFalls = 2 + endpointCount / 10;
		assertThat(unaware.falls).isGreaterThan(mostFalls);
		assertThat(aware.falls).isAtMost(mostFalls);
		assertThat(aware.served).isGreaterThan(unaware.served);
	}

	private record Event(long at, Runnable action) {
	}

	@FunctionalInterface
	private interface Reply {

		void send(Outcome outcome, long at);

	}

	/** Entries and endpoints in virtual time. */
	private static final class Simulation {

		private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at));

		private final List<Vm> vms = new ArrayList<>();

		private final Map<String, Endpoint> endpoints = new HashMap<>();

		private final int limit;

		private final boolean stated;

		private int falls;

		private long served;

		private Simulation(int limit, boolean stated) {
			this.limit = limit;
			this.stated = stated;
		}

		private void play(int vmCount, int endpointCount, double load, long seed) {
			start(vmCount, endpointCount);
			arrive(new Random(seed), load * endpointCount * SLOTS * SECOND / WORK, vmCount);
			for (Event event = this.events.poll(); event != null; event = this.events.poll()) {
				event.action().run();
			}
		}

		private void start(int vmCount, int endpointCount) {
			List<FleetEndpoint> fleet = IntStream.range(0, endpointCount)
				.mapToObj((i) -> new FleetEndpoint("i" + i, "pool", "127.0.0.1:1", "dc", SLOTS, false))
				.toList();
			fleet.forEach((endpoint) -> this.endpoints.put(endpoint.instance(), new Endpoint()));
			for (int i = 0; i < vmCount; i++) {
				this.vms.add(new Vm("vm" + i, fleet));
				tell(this.vms.get(i), i * 7 * MILLI);
			}
		}

		private void tell(Vm vm, long at) {
			if (at > END) {
				return;
			}
			this.events.add(new Event(at, () -> {
				List<PeerLoads.Load> loads = vm.balancer.localLoads();
				vm.sequence++;
				long sequence = vm.sequence;
				this.events.add(new Event(at + TRANSIT,
						() -> this.vms.stream()
							.filter((other) -> other != vm)
							.forEach((other) -> other.peers.receive(vm.name, sequence, loads, at + TRANSIT))));
				tell(vm, at + 50 * MILLI);
			}));
		}

		private void arrive(Random random, double perSecond, int vmCount) {
			long at = 0;
			while (at < END) {
				long now = at;
				Vm vm = this.vms.get(random.nextInt(vmCount));
				long salt = random.nextLong();
				this.events.add(new Event(now, () -> vm.send(salt, now)));
				at += (long) (-Math.log(1 - random.nextDouble()) * SECOND / perSecond);
			}
		}

		private final class Vm {

			private final String name;

			private final PeerLoads peers = new PeerLoads();

			private final PoolBalancer balancer = new PoolBalancer(this.peers, (instance) -> true);

			private long sequence;

			private Vm(String name, List<FleetEndpoint> fleet) {
				this.name = name;
				this.balancer.endpoints(fleet);
			}

			private void send(long salt, long now) {
				Placement placement = new Placement(NO_PROMPT, false, false, salt, Set.of());
				Optional<FleetEndpoint> choice = this.balancer.choose(placement, now);
				if (choice.isEmpty()) {
					return;
				}
				String instance = choice.get().instance();
				PlacedRequest placed = this.balancer.begin(instance, placement, QueuePosition.OVERTAKES_OTHERS, now);
				Endpoint endpoint = Simulation.this.endpoints.get(instance);
				schedule(now + TRANSIT,
						() -> endpoint.receive(now + TRANSIT, (outcome, at) -> schedule(at + TRANSIT, () -> {
							if (Simulation.this.stated) {
								placed.reportRefusalLimit(Simulation.this.limit, at + TRANSIT);
							}
							placed.end(outcome, at + TRANSIT);
							Simulation.this.served += (outcome == Outcome.GOOD) ? 1 : 0;
						})));
			}

			private void schedule(long at, Runnable action) {
				Simulation.this.events.add(new Event(at, action));
			}

		}

		private final class Endpoint {

			private final Deque<Reply> waiting = new ArrayDeque<>();

			private final Deque<Long> refusedAt = new ArrayDeque<>();

			private int running;

			private long downUntil;

			private void receive(long now, Reply reply) {
				if (now < this.downUntil) {
					reply.send(Outcome.GONE, now);
					return;
				}
				int room = (now < NOTICE) ? QUEUE : QUEUE_WHEN_BRITTLE;
				if (this.running < SLOTS) {
					run(now, reply);
				}
				else if (this.waiting.size() < room) {
					this.waiting.add(reply);
				}
				else {
					refuse(now);
					reply.send(Outcome.FULL, now);
				}
			}

			// Before the end of the notice endpoints endure any number of refusals.
			private void refuse(long now) {
				if (now < NOTICE) {
					return;
				}
				this.refusedAt.add(now);
				while (now - this.refusedAt.peek() > SECOND) {
					this.refusedAt.remove();
				}
				if (this.refusedAt.size() > Simulation.this.limit) {
					Simulation.this.falls++;
					this.downUntil = now + DOWN;
					this.refusedAt.clear();
				}
			}

			private void run(long now, Reply reply) {
				this.running++;
				Simulation.this.events.add(new Event(now + WORK, () -> {
					this.running--;
					reply.send(Outcome.GOOD, now + WORK);
					if (!this.waiting.isEmpty()) {
						run(now + WORK, this.waiting.remove());
					}
				}));
			}

		}

	}

}
