package org.acaciacourse.core.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.acaciacourse.core.balance.LoadExchange;
import org.acaciacourse.core.balance.LoadPeer;
import org.acaciacourse.core.balance.PeerLoads;

/**
 * Entry VMs and endpoints in simulated time: sound requests, contents that crash each
 * endpoint that runs them and come again at random entries, and endpoints that crash for
 * other reasons. Entries exchange what they see by datagrams, some of which are lost.
 * <p>
 * Not thread safe: belongs to one test.
 */
final class CrashFleet {

	static final long MILLI = 1_000_000;

	/** From the third crash of a content until it must not be sent on. */
	static final long CONTACT_NANOS = 3_000 * MILLI;

	private static final int POOL = 7;

	private static final int MAX_FACTS_PER_CRASH = 16;

	private static final long MIN_FACT_INTERVAL = 60 * MILLI;

	private static final double LOSS = 0.05;

	private static final int MAX_ATTEMPTS = 2;

	/** The chance that a request may be run again. */
	private static final double IDEMPOTENT = 0.6;

	final Random random;

	final Map<Long, Culprit> culprits = new HashMap<>();

	int soundRequests;

	int soundRefused;

	int soundBlocked;

	int soundServed;

	private final List<Entry> entries = new ArrayList<>();

	private final Map<String, Entry> byAddress = new HashMap<>();

	private final Map<Integer, Endpoint> endpoints = new HashMap<>();

	private final int poolSize;

	private final double soundPerSecond;

	private final double meanRunMillis;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::number));

	private long eventCount;

	private int nextEndpoint = 1;

	private long nextContent = 1_000;

	private long now = -5_000_000_000L;

	CrashFleet(int entryCount, int poolSize, double soundPerSecond, double meanRunMillis, long seed) {
		this.random = new Random(seed);
		this.poolSize = poolSize;
		this.soundPerSecond = soundPerSecond;
		this.meanRunMillis = meanRunMillis;
		List<LoadPeer> peers = IntStream.range(0, entryCount)
			.mapToObj((i) -> new LoadPeer("10.0." + i / 200 + "." + i % 200 + ":7", "dc-" + i % 3))
			.toList();
		peers.forEach((peer) -> this.entries.add(new Entry(peer, this.now)));
		this.entries.forEach((entry) -> {
			this.byAddress.put(entry.self.address(), entry);
			entry.exchange.peers(peers);
			entry.tickLater(this.random.nextInt(100) * MILLI);
		});
		IntStream.range(0, poolSize).forEach((i) -> startEndpoint());
		soundArrival();
	}

	private void schedule(long delay, Runnable action) {
		this.events.add(new Event(this.now + Math.max(0, delay), this.eventCount++, action));
	}

	void run(long millis) {
		long end = this.now + millis * MILLI;
		while (!this.events.isEmpty() && this.events.peek().at() <= end) {
			Event event = this.events.poll();
			this.now = event.at();
			event.action().run();
		}
		this.now = end;
	}

	private void startEndpoint() {
		Endpoint endpoint = new Endpoint(PeerLoads.idOf("i-" + this.nextEndpoint++));
		this.endpoints.put(endpoint.id, endpoint);
	}

	private void soundArrival() {
		schedule((long) (-Math.log(1 - this.random.nextDouble()) / this.soundPerSecond * 1_000 * MILLI), () -> {
			this.soundRequests++;
			long runs = (long) (-Math.log(1 - this.random.nextDouble()) * this.meanRunMillis * MILLI);
			new Request(this.nextContent++, runs, false).arrive();
			soundArrival();
		});
	}

	/** A content that crashes endpoints arrives again and again. */
	void addCulprit(long meanPauseMillis, long crashAfterMillis, long forMillis) {
		long content = this.nextContent++;
		this.culprits.put(content, new Culprit());
		repeat(content, meanPauseMillis, crashAfterMillis, this.now + forMillis * MILLI);
	}

	private void repeat(long content, long meanPauseMillis, long crashAfterMillis, long until) {
		if (this.now < until) {
			long runs = crashAfterMillis * MILLI / 2 + (long) (this.random.nextDouble() * crashAfterMillis * MILLI);
			new Request(content, runs, true).arrive();
			schedule((meanPauseMillis / 2 + this.random.nextInt((int) meanPauseMillis)) * MILLI,
					() -> repeat(content, meanPauseMillis, crashAfterMillis, until));
		}
	}

	/** Endpoints crash for another reason, one after the other. */
	void crashEndpoints(int count, long gapMillis) {
		List<Endpoint> chosen = new ArrayList<>(this.endpoints.values());
		chosen.sort(Comparator.comparingInt((endpoint) -> endpoint.id));
		for (int i = 0; i < count && !chosen.isEmpty(); i++) {
			Endpoint endpoint = chosen.remove(this.random.nextInt(chosen.size()));
			schedule(i * gapMillis * MILLI, () -> crash(endpoint));
		}
	}

	private void crash(Endpoint endpoint) {
		if (this.endpoints.remove(endpoint.id) == null) {
			return;
		}
		endpoint.running.stream().filter((request) -> request.crashes).forEach((request) -> {
			Culprit culprit = this.culprits.get(request.content);
			culprit.crashes++;
			culprit.thirdAt = (culprit.crashes == 3) ? this.now : culprit.thirdAt;
		});
		schedule((4_000 + this.random.nextInt(2_000)) * MILLI, this::startEndpoint);
		Map<Entry, List<Request>> lost = new HashMap<>();
		endpoint.running.forEach((request) -> {
			request.ended = true;
			lost.computeIfAbsent(request.entry, (entry) -> new ArrayList<>()).add(request);
		});
		lost.forEach((entry, requests) -> schedule((6 + this.random.nextInt(10)) * MILLI, () -> {
			entry.crashed(endpoint, requests, this.now);
			requests.forEach(Request::lost);
		}));
	}

	int mostCrashes() {
		return this.culprits.values().stream().mapToInt((culprit) -> culprit.crashes).max().orElse(0);
	}

	int mostLateRuns() {
		return this.culprits.values().stream().mapToInt((culprit) -> culprit.lateRuns).max().orElse(0);
	}

	/** What happened under a content that crashes endpoints. */
	static final class Culprit {

		int crashes;

		/** Runs that began longer than the contact time after the third crash. */
		int lateRuns;

		private long thirdAt;

	}

	private record Event(long at, long number, Runnable action) {
	}

	private static final class Endpoint {

		private final int id;

		private final Set<Request> running = new HashSet<>();

		Endpoint(int id) {
			this.id = id;
		}

	}

	/** A request of a caller, who tries it twice if it may be run again. */
	private final class Request {

		private final long content;

		private final long runNanos;

		private final boolean crashes;

		private final boolean idempotent;

		private final Set<Integer> tried = new HashSet<>();

		private Entry entry;

		private long sentAt;

		private int attempts;

		private int callerTries;

		private boolean ended;

		Request(long content, long runNanos, boolean crashes) {
			this.content = content;
			this.runNanos = runNanos;
			this.crashes = crashes;
			this.idempotent = CrashFleet.this.random.nextDouble() < IDEMPOTENT;
		}

		void arrive() {
			this.entry = CrashFleet.this.entries.get(CrashFleet.this.random.nextInt(CrashFleet.this.entries.size()));
			this.callerTries++;
			this.attempts = 0;
			this.tried.clear();
			send();
		}

		private void send() {
			boolean refused = this.entry.contents.refusedFor(this.content, CrashFleet.this.now).isPresent();
			if (refused && !this.crashes) {
				CrashFleet.this.soundRefused++;
				CrashFleet.this.soundBlocked += (this.entry.contents.isBlocked(this.content, CrashFleet.this.now)) ? 1
						: 0;
			}
			List<Endpoint> choice = CrashFleet.this.endpoints.values()
				.stream()
				.filter((endpoint) -> !this.tried.contains(endpoint.id))
				.sorted(Comparator.comparingInt((endpoint) -> endpoint.id))
				.toList();
			if (refused || choice.isEmpty()) {
				return;
			}
			runAt(choice.get(CrashFleet.this.random.nextInt(choice.size())));
		}

		private void runAt(Endpoint endpoint) {
			this.attempts++;
			this.tried.add(endpoint.id);
			this.ended = false;
			this.sentAt = CrashFleet.this.now;
			Culprit culprit = CrashFleet.this.culprits.get(this.content);
			if (culprit != null && culprit.crashes >= 3 && this.sentAt - culprit.thirdAt > CONTACT_NANOS) {
				culprit.lateRuns++;
			}
			endpoint.running.add(this);
			long sent = this.sentAt;
			schedule(this.runNanos, () -> {
				if (!this.ended && this.sentAt == sent) {
					end(endpoint);
				}
			});
		}

		private void end(Endpoint endpoint) {
			if (this.crashes) {
				crash(endpoint);
				return;
			}
			this.ended = true;
			endpoint.running.remove(this);
			CrashFleet.this.soundServed++;
			this.entry.answered(this.content, CrashFleet.this.now);
		}

		private void lost() {
			if (this.idempotent && this.attempts < MAX_ATTEMPTS) {
				send();
			}
			else if (this.idempotent && this.callerTries < 2 && !this.crashes) {
				schedule((100 + CrashFleet.this.random.nextInt(900)) * MILLI, this::arrive);
			}
		}

	}

	/** An entry VM. */
	private final class Entry {

		private final LoadPeer self;

		private final CrashingFeatures contents = new CrashingFeatures();

		private final LoadExchange exchange;

		private long tickedAt;

		private int ticks;

		Entry(LoadPeer self, long now) {
			this.self = self;
			this.exchange = new LoadExchange(self, new PeerLoads(), 1, now);
		}

		private void tickLater(long delay) {
			int tick = ++this.ticks;
			schedule(delay, () -> {
				if (tick == this.ticks) {
					tick();
				}
			});
		}

		private void tick() {
			this.tickedAt = CrashFleet.this.now;
			for (LoadExchange.Outgoing message : this.exchange.tick(List.of(), List.of(), CrashFleet.this.now)) {
				for (String receiver : message.receivers()) {
					if (CrashFleet.this.random.nextDouble() >= LOSS) {
						Entry to = CrashFleet.this.byAddress.get(receiver);
						schedule((1 + CrashFleet.this.random.nextInt(3)) * MILLI, () -> {
							to.exchange.receive(this.self.address(), message.digest(), CrashFleet.this.now);
							message.digest().facts().forEach((fact) -> to.contents.record(fact, CrashFleet.this.now));
						});
					}
				}
			}
			tickLater(this.exchange.intervalMillis() * MILLI);
		}

		private void announce(List<FeatureFact> facts) {
			this.exchange.announce(facts);
			tickLater(Math.max(0, MIN_FACT_INTERVAL - (CrashFleet.this.now - this.tickedAt)));
		}

		private void crashed(Endpoint endpoint, List<Request> requests, long now) {
			List<FeatureFact> facts = requests.stream()
				.sorted(Comparator.comparingLong((request) -> now - request.sentAt))
				.limit(MAX_FACTS_PER_CRASH)
				.map((request) -> FeatureFact.crashed(request.content,
						new FeatureFact.Run(endpoint.id, POOL, CrashFleet.this.poolSize,
								(int) ((now - request.sentAt) / MILLI))))
				.toList();
			facts.forEach((fact) -> this.contents.record(fact, now));
			announce(facts);
			schedule(600 * MILLI, () -> facts.forEach((fact) -> {
				if (this.contents.isBlocked(fact.content(), CrashFleet.this.now)) {
					announce(List.of(FeatureFact.blocked(fact.content())));
				}
			}));
		}

		private void answered(long content, long now) {
			if (this.contents.isSuspect(content)) {
				FeatureFact fact = FeatureFact.answered(content);
				this.contents.record(fact, now);
				announce(List.of(fact));
			}
		}

	}

}
