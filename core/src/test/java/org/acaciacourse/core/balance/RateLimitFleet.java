package org.acaciacourse.core.balance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Entry VMs in simulated time that send more requests than the endpoints take from all of
 * them together. The VMs exchange what the endpoints state by datagrams, some of which
 * are lost.
 * <p>
 * Not thread safe: belongs to one test.
 */
final class RateLimitFleet {

	static final long MILLI = 1_000_000;

	static final long SECOND = 1_000 * MILLI;

	private static final long WINDOW_NANOS = 4 * SECOND;

	private static final long MAX_WAIT_NANOS = 500 * MILLI;

	private static final long POLL_NANOS = 15 * MILLI;

	private static final long RESPONSE_NANOS = 120 * MILLI;

	private static final double LOSS = 0.05;

	private final Random random;

	private final List<Entry> entries = new ArrayList<>();

	private final Map<String, Entry> byAddress = new HashMap<>();

	private final List<Endpoint> endpoints = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::number));

	private long eventCount;

	private long now = -3 * SECOND;

	private long limitedAt;

	RateLimitFleet(int entryCount, int endpointCount, int maxDirectPeers, long seed) {
		this.random = new Random(seed);
		List<LoadPeer> peers = IntStream.range(0, entryCount)
			.mapToObj((i) -> new LoadPeer("10.0." + i / 200 + "." + i % 200 + ":7", "dc-" + i % 3))
			.toList();
		peers.forEach((peer) -> this.entries.add(new Entry(peer)));
		this.entries.forEach((entry) -> {
			this.byAddress.put(entry.self.address(), entry);
			entry.exchange.maxDirectPeers(maxDirectPeers);
			entry.peers(peers);
			schedule(this.random.nextInt(100) * MILLI, entry::tick);
			schedule(this.random.nextInt(15) * MILLI, entry::placeWaiting);
		});
		IntStream.range(0, endpointCount).forEach((i) -> this.endpoints.add(new Endpoint(1_000 + i)));
	}

	private void schedule(long delay, Runnable action) {
		this.events.add(new Event(this.now + delay, this.eventCount++, action));
	}

	void run(long nanos) {
		long end = this.now + nanos;
		while (!this.events.isEmpty() && this.events.peek().at() <= end) {
			Event event = this.events.poll();
			this.now = event.at();
			event.action().run();
		}
		this.now = end;
	}

	/** Send requests at random; some entries get several times as many as others. */
	void load(double perSecond) {
		double[] weights = this.entries.stream().mapToDouble((entry) -> 0.5 + this.random.nextDouble()).toArray();
		double sum = IntStream.range(0, weights.length).mapToDouble((i) -> weights[i]).sum();
		for (int i = 0; i < weights.length; i++) {
			arrive(this.entries.get(i), perSecond * weights[i] / sum);
		}
	}

	private void arrive(Entry entry, double perSecond) {
		schedule((long) (-Math.log(1 - this.random.nextDouble()) / perSecond * SECOND), () -> {
			entry.waiting.add(this.now);
			entry.place();
			arrive(entry, perSecond);
		});
	}

	/** Have the first endpoints state a limit, or none. */
	void limit(int endpointCount, OptionalDouble perSecond) {
		this.endpoints.subList(0, endpointCount).forEach((endpoint) -> endpoint.limit = perSecond);
		this.limitedAt = this.now;
	}

	/** An entry leaves for good; the others learn of it only later. */
	void remove(int index) {
		this.entries.get(index).removed = true;
	}

	void learnOfRemoval() {
		List<LoadPeer> live = this.entries.stream()
			.filter((entry) -> !entry.removed)
			.map((entry) -> entry.self)
			.toList();
		this.entries.forEach((entry) -> entry.peers(live));
	}

	/**
	 * The most requests of an endpoint within four seconds, from a while after its limit.
	 */
	int mostInAWindow(long from) {
		int most = 0;
		for (Endpoint endpoint : this.endpoints) {
			List<Long> times = endpoint.arrivals.stream().filter((at) -> at >= this.limitedAt + from).toList();
			int first = 0;
			for (int last = 0; last < times.size(); last++) {
				while (times.get(last) - times.get(first) >= WINDOW_NANOS) {
					first++;
				}
				most = Math.max(most, last - first + 1);
			}
		}
		return most;
	}

	/** The requests of all endpoints since a time after their limit. */
	long arrivals(long from) {
		return this.endpoints.stream()
			.flatMap((endpoint) -> endpoint.arrivals.stream())
			.filter((at) -> at >= this.limitedAt + from)
			.count();
	}

	private record Event(long at, long number, Runnable action) {
	}

	private static final class Endpoint {

		private final int id;

		private final List<Long> arrivals = new ArrayList<>();

		private OptionalDouble limit = OptionalDouble.empty();

		Endpoint(int id) {
			this.id = id;
		}

	}

	private final class Entry {

		private final LoadPeer self;

		private final RateLimits limits;

		private final LoadExchange exchange;

		private final Deque<Long> waiting = new ArrayDeque<>();

		private boolean removed;

		Entry(LoadPeer self) {
			this.self = self;
			this.limits = RateLimits.of(self.address());
			this.exchange = new LoadExchange(self, new PeerLoads(), 1, RateLimitFleet.this.now);
		}

		private void peers(List<LoadPeer> peers) {
			this.limits.peers(peers);
			this.exchange.peers(peers);
		}

		private void tick() {
			if (this.removed) {
				return;
			}
			this.exchange.limits(this.limits.statements(RateLimitFleet.this.now));
			this.exchange.tick(List.of(), List.of(), RateLimitFleet.this.now)
				.forEach((message) -> message.receivers().forEach((receiver) -> send(receiver, message.digest())));
			schedule(this.exchange.intervalMillis() * MILLI, this::tick);
		}

		private void send(String receiver, LoadDigest digest) {
			if (RateLimitFleet.this.random.nextDouble() >= LOSS) {
				Entry to = RateLimitFleet.this.byAddress.get(receiver);
				schedule((1 + RateLimitFleet.this.random.nextInt(3)) * MILLI, () -> {
					to.exchange.receive(this.self.address(), digest, RateLimitFleet.this.now);
					digest.limits().forEach((limit) -> to.limits.receive(limit, RateLimitFleet.this.now));
				});
			}
		}

		private void placeWaiting() {
			Iterator<Long> oldest = this.waiting.iterator();
			while (oldest.hasNext() && RateLimitFleet.this.now - oldest.next() > MAX_WAIT_NANOS) {
				oldest.remove();
			}
			place();
			schedule(POLL_NANOS, this::placeWaiting);
		}

		private void place() {
			long now = RateLimitFleet.this.now;
			if (this.waiting.isEmpty()) {
				return;
			}
			List<Endpoint> choice = new ArrayList<>(RateLimitFleet.this.endpoints);
			Collections.shuffle(choice, RateLimitFleet.this.random);
			for (Iterator<Endpoint> next = choice.iterator(); next.hasNext() && !this.waiting.isEmpty()
					&& !this.removed;) {
				Endpoint endpoint = next.next();
				if (this.limits.maySend(endpoint.id, now)) {
					this.waiting.remove();
					this.limits.requestSent(endpoint.id, now);
					schedule(MILLI, () -> endpoint.arrivals.add(RateLimitFleet.this.now));
					schedule(RESPONSE_NANOS,
							() -> this.limits.record(endpoint.id, endpoint.limit, RateLimitFleet.this.now));
				}
			}
		}

	}

}
