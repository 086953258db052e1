package org.acaciacourse.core.balance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.acaciacourse.core.route.FleetEndpoint;

/**
 * A pool of engines of two speeds on machines that are slowed down at times, and the
 * entry VMs that send prompts to them, in virtual time. Digests arrive up to 0.9 s after
 * the state that they tell.
 */
final class UnevenPool {

	static final long MILLI = 1_000_000L;

	private static final int VMS = 76;

	private static final int ENGINES = 98;

	private static final int SLOTS = 24;

	private static final long STEP_MILLIS = 5;

	private static final long DIGEST_MILLIS = 750;

	private static final long DIGEST_DELAY_MILLIS = 150;

	private static final double SLOW = 0.55;

	private static final double FAST = 1.2;

	private static final double TOKENS_PER_MILLI = 56.6;

	private static final double BATCH_STEP_MILLIS = 3.79;

	/** An event comes every few batch steps. */
	private static final int STEPS_PER_EVENT = 8;

	private static final double SLOWED_DOWN = 2.5;

	private static final double SLOWED_MILLIS = 600;

	private static final double UNDISTURBED_MILLIS = 3_400;

	private final Random random;

	private final double requestsPerSecond;

	private final List<Vm> vms = new ArrayList<>();

	private final List<Engine> engines = new ArrayList<>();

	private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));

	private long now;

	private boolean measured;

	private final double[] waits = new double[2];

	private final double[] firstEvents = new double[2];

	private final int[] answered = new int[2];

	private double highestRelativeLoad;

	UnevenPool(long seed, double requestsPerSecond, Map<OptionalMechanism, OptionalSwitch> switches) {
		this.random = new Random(seed);
		this.requestsPerSecond = requestsPerSecond;
		List<FleetEndpoint> listed = IntStream.range(0, ENGINES)
			.mapToObj((i) -> new FleetEndpoint("i" + i, "pool", "127.0.0.1:1", "dc", SLOTS, false))
			.toList();
		IntStream.range(0, ENGINES).forEach((i) -> this.engines.add(new Engine((i % 4 == 0) ? SLOW : FAST)));
		List<LoadPeer> peers = IntStream.range(0, VMS).mapToObj((i) -> new LoadPeer("vm" + i, "dc")).toList();
		RoutingPolicy policy = new RoutingPolicy("test", Set.of(), Map.of(), switches);
		peers.forEach((peer) -> this.vms.add(new Vm(peer, peers, listed, policy)));
	}

	/**
	 * Run the pool.
	 * @param seconds for how long
	 * @param measure whether to count what happens
	 */
	void run(int seconds, boolean measure) {
		this.measured = measure;
		long end = this.now + seconds * 1_000 * MILLI;
		while (this.now < end) {
			this.now += STEP_MILLIS * MILLI;
			deliver();
			arrive();
			this.engines.forEach(Engine::step);
			for (int i = 0; i < VMS; i++) {
				if ((this.now / MILLI + i * 10) % DIGEST_MILLIS < STEP_MILLIS) {
					tell(this.vms.get(i));
				}
			}
			if (measure && this.now % (1_000 * MILLI) == 0) {
				endSecond();
			}
		}
	}

	private void tell(Vm vm) {
		vm.exchange.tick(vm.balancer.localLoads(), vm.balancer.drainUnreportedUses(), this.now)
			.forEach((message) -> this.deliveries
				.add(new Delivery(vm.address, message.digest(), this.now + DIGEST_DELAY_MILLIS * MILLI)));
	}

	private void deliver() {
		while (!this.deliveries.isEmpty() && this.deliveries.peek().at() <= this.now) {
			Delivery next = this.deliveries.poll();
			this.vms.stream()
				.filter((vm) -> !vm.address.equals(next.sender()))
				.forEach((vm) -> vm.exchange.receive(next.sender(), next.digest(), this.now));
		}
	}

	private void arrive() {
		double expected = this.requestsPerSecond * STEP_MILLIS / 1_000;
		int count = (int) expected + ((this.random.nextDouble() < expected % 1) ? 1 : 0);
		for (int i = 0; i < count; i++) {
			Vm vm = this.vms.get(this.random.nextInt(VMS));
			boolean large = this.random.nextInt(3) > 0;
			PromptShape prompt = new PromptShape((large) ? 9_000 : 3_000, 20, List.of());
			Placement wanted = new Placement(prompt, false, false, this.random.nextLong(), Set.of());
			FleetEndpoint chosen = vm.balancer.choose(wanted, this.now).orElseThrow();
			PlacedRequest placed = vm.balancer.begin(chosen.instance(), wanted, QueuePosition.BEHIND_OTHERS, this.now);
			this.engines.get(Integer.parseInt(chosen.instance().substring(1)))
				.add(new Running(placed, this.now, prompt.promptTokens()));
		}
	}

	private void endSecond() {
		double mean = this.engines.stream().mapToDouble(Engine::relativeLoad).average().orElseThrow();
		double highest = this.engines.stream().mapToDouble(Engine::relativeLoad).max().orElseThrow();
		this.highestRelativeLoad = Math.max(this.highestRelativeLoad, highest / mean);
		this.engines.forEach((engine) -> engine.requestTicks = 0);
	}

	// The largest load of an engine in a second relative to its speed, in means.
	double highestRelativeLoad() {
		return this.highestRelativeLoad;
	}

	double meanWaitMillis(boolean slow) {
		return this.waits[(slow) ? 1 : 0] / this.answered[(slow) ? 1 : 0];
	}

	double meanFirstEventMillis(boolean slow) {
		return this.firstEvents[(slow) ? 1 : 0] / this.answered[(slow) ? 1 : 0];
	}

	double meanLearned(boolean slow) {
		return IntStream.range(0, ENGINES)
			.filter((i) -> (i % 4 == 0) == slow)
			.mapToDouble((i) -> this.vms.get(0).balancer.speeds().endpoint(PeerLoads.idOf("i" + i)).learned())
			.average()
			.orElseThrow();
	}

	@Override
	public String toString() {
		return String.format(
				"wait %.0f / %.0f ms, first event %.0f / %.0f ms, answers %d / %d, highest %.2f, learned %.2f / %.2f",
				meanWaitMillis(true), meanWaitMillis(false), meanFirstEventMillis(true), meanFirstEventMillis(false),
				this.answered[1], this.answered[0], this.highestRelativeLoad, meanLearned(true), meanLearned(false));
	}

	private record Delivery(String sender, LoadDigest digest, long at) {
	}

	private static final class Vm {

		private final String address;

		private final PoolBalancer balancer;

		private final LoadExchange exchange;

		private Vm(LoadPeer self, List<LoadPeer> peers, List<FleetEndpoint> listed, RoutingPolicy policy) {
			this.address = self.address();
			PeerLoads loads = new PeerLoads();
			this.balancer = new PoolBalancer(loads, (instance) -> true);
			this.balancer.policy(policy);
			this.balancer.endpoints(listed);
			this.exchange = new LoadExchange(self, loads, 1, 0);
			this.exchange.peers(peers);
		}

	}

	private static final class Running {

		private final PlacedRequest placed;

		private final long sentAt;

		private double prefillLeft;

		private double progress;

		private int events;

		private long beganAt;

		private Running(PlacedRequest placed, long sentAt, long tokens) {
			this.placed = placed;
			this.sentAt = sentAt;
			this.prefillLeft = tokens;
		}

	}

	/** Prefills prompts one after the other, and makes the events of all together. */
	private final class Engine {

		private static final int EVENTS = 20;

		private final double speed;

		private final Deque<Running> queue = new ArrayDeque<>();

		private final List<Running> streams = new ArrayList<>();

		private double pace = 1;

		private long paceEndsAt;

		private long requestTicks;

		private Engine(double speed) {
			this.speed = speed;
		}

		private void add(Running request) {
			this.queue.add(request);
		}

		private double relativeLoad() {
			return this.requestTicks / this.speed;
		}

		private void step() {
			changePace();
			double rate = this.speed / this.pace;
			this.requestTicks += this.queue.size() + this.streams.size();
			prefill(rate);
			decode(rate);
		}

		private void changePace() {
			if (UnevenPool.this.now >= this.paceEndsAt) {
				boolean slowed = this.paceEndsAt != 0 && this.pace == 1;
				double mean = (slowed) ? SLOWED_MILLIS : UNDISTURBED_MILLIS;
				double duration = -mean * Math.log(1 - UnevenPool.this.random.nextDouble());
				this.pace = (slowed) ? SLOWED_DOWN : 1;
				this.paceEndsAt = UnevenPool.this.now + Math.round(duration * MILLI);
			}
		}

		private void prefill(double rate) {
			double left = TOKENS_PER_MILLI * rate * STEP_MILLIS;
			while (left > 0 && !this.queue.isEmpty() && this.streams.size() < SLOTS) {
				Running first = this.queue.peek();
				if (first.beganAt == 0) {
					first.beganAt = UnevenPool.this.now;
				}
				double done = Math.min(left, first.prefillLeft);
				left -= done;
				first.prefillLeft -= done;
				if (first.prefillLeft <= 0) {
					this.streams.add(this.queue.poll());
					state(first);
					event(first);
					count(first);
				}
			}
		}

		private void state(Running request) {
			request.placed.recordActivity(UnevenPool.this.now);
			request.placed.report(this.streams.size(), this.queue.size(),
					OptionalInt.of((int) Math.round(this.pace * 100)), UnevenPool.this.now);
		}

		private void event(Running request) {
			request.events++;
			request.placed.streamBegan(UnevenPool.this.now - request.sentAt);
		}

		private void count(Running request) {
			if (UnevenPool.this.measured) {
				int kind = (this.speed < 1) ? 1 : 0;
				UnevenPool.this.answered[kind]++;
				UnevenPool.this.waits[kind] += (request.beganAt - request.sentAt) / 1e6;
				UnevenPool.this.firstEvents[kind] += (UnevenPool.this.now - request.sentAt) / 1e6;
			}
		}

		private void decode(double rate) {
			double gap = BATCH_STEP_MILLIS * STEPS_PER_EVENT * (1 + 0.05 * this.streams.size()) / rate;
			Iterator<Running> all = this.streams.iterator();
			while (all.hasNext()) {
				Running stream = all.next();
				stream.progress += STEP_MILLIS / gap;
				if (stream.progress >= stream.events) {
					stream.placed.recordActivity(UnevenPool.this.now);
					event(stream);
				}
				if (stream.events > EVENTS) {
					stream.placed.end(Outcome.GOOD, UnevenPool.this.now);
					all.remove();
				}
			}
		}

	}

}
