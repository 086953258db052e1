package org.acaciacourse.core.balance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToDoubleBiFunction;
import java.util.stream.IntStream;

import org.acaciacourse.core.admission.AdmissionDecision;
import org.acaciacourse.core.admission.Demand;
import org.acaciacourse.core.route.FleetEndpoint;

/**
 * A pool of engines and its entry VMs in virtual time. Engines prefill the waiting
 * prompts one after the other by rank, more slowly beside running answers, and make the
 * tokens of the answers. Callers leave at their deadline. A refused caller retries once,
 * after the time that it was told, but no later than a third of the time that it has
 * left.
 */
final class AdmissionLoad {

	static final long MILLI = 1_000_000;

	private static final int DEFERRED = 9;

	private static final int SLOTS = 24;

	private static final int MAX_WAITING = 50;

	private static final long EVENT_NANOS = 30 * MILLI;

	private static final long CACHE_FOR_PARTS = 270_000;

	private static final int DIGEST_INTERVAL_MILLIS = 900;

	private static final long NOISE_NANOS = 600 * MILLI;

	private final Deployment deployment;

	private final Mode mode;

	private final Random random;

	private final List<PeerLoads> peerLoads = new ArrayList<>();

	private final List<PoolBalancer> entries = new ArrayList<>();

	private final Map<String, Engine> engines = new LinkedHashMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::number));

	private long eventCount;

	private long digestCount;

	final Counts counts = new Counts();

	AdmissionLoad(Deployment deployment, Mode mode, long seed) {
		this.deployment = deployment;
		this.mode = mode;
		this.random = new Random(seed);
		List<FleetEndpoint> endpoints = IntStream.range(0, deployment.engines())
			.mapToObj((i) -> new FleetEndpoint("i" + i, "pool", "127.0.0.1:1", "dc", SLOTS, false))
			.toList();
		for (int i = 0; i < endpoints.size(); i++) {
			this.engines.put("i" + i, new Engine(deployment.tokensPerMilli() * deployment.speeds()[i % 4], seed + i));
		}
		for (int vm = 0; vm < deployment.vms(); vm++) {
			PeerLoads loads = new PeerLoads();
			PoolBalancer balancer = new PoolBalancer(loads, (instance) -> true);
			balancer.endpoints(endpoints);
			balancer.engineCacheTokens(2 * CACHE_FOR_PARTS);
			balancer.entryVms(deployment.vms());
			balancer.policy(RoutingPolicy.DEFAULT.withDefaultsOn(Set.of(OptionalMechanism.ADMISSION)));
			this.peerLoads.add(loads);
			this.entries.add(balancer);
		}
	}

	/**
	 * Run the load.
	 * @param millis how long requests arrive
	 * @param factor the factor of the usual rate, by kind and millisecond
	 */
	void run(int millis, ToDoubleBiFunction<Kind, Integer> factor) {
		for (int milli = 0; milli < millis + 12_000; milli++) {
			long at = milli * MILLI;
			processEvents(at);
			for (int vm = 0; vm < this.entries.size(); vm++) {
				if (milli % DIGEST_INTERVAL_MILLIS == vm * DIGEST_INTERVAL_MILLIS / this.entries.size()) {
					sendDigests(vm, at);
				}
			}
			for (Kind kind : this.deployment.kinds()) {
				double expected = (milli < millis) ? kind.perSecond() * factor.applyAsDouble(kind, milli) / 1_000 : 0;
				for (double left = expected; this.random.nextDouble() < left; left--) {
					arrive(new Request(kind, drawTopic(kind), -1 - this.random.nextLong(1L << 40), at), at);
				}
			}
		}
	}

	/** All callers of some time arrive within a tenth of a second. */
	void arriveAtOnce(double seconds) {
		for (Kind kind : this.deployment.kinds()) {
			for (int i = 0; i < kind.perSecond() * seconds; i++) {
				long at = this.random.nextInt(100) * MILLI;
				Request request = new Request(kind, drawTopic(kind), -1 - this.random.nextLong(1L << 40), at);
				schedule(at, () -> arrive(request, at));
			}
		}
	}

	// The square of a uniform draw: some topics are more popular than others.
	private long drawTopic(Kind kind) {
		double drawn = this.random.nextDouble();
		return kind.sharedTokens() * 1_000 + (long) (drawn * drawn * kind.topics());
	}

	private void sendDigests(int from, long at) {
		PoolBalancer sender = this.entries.get(from);
		List<PeerLoads.Load> loads = sender.localLoads();
		List<PartUse> uses = sender.drainUnreportedUses();
		this.digestCount++;
		for (int to = 0; to < this.entries.size(); to++) {
			this.peerLoads.get(to).expireSilent(at);
			if (to != from && !loads.isEmpty()) {
				this.peerLoads.get(to).receive("vm" + from, this.digestCount, loads, at);
				uses.forEach(this.entries.get(to)::recordPeerUse);
			}
		}
	}

	private void processEvents(long until) {
		while (!this.events.isEmpty() && this.events.peek().at() <= until) {
			this.events.poll().action().run();
		}
	}

	private void schedule(long at, Runnable action) {
		this.events.add(new Event(at, this.eventCount++, action));
	}

	private void arrive(Request request, long at) {
		PoolBalancer entry = this.entries.get(this.random.nextInt(this.entries.size()));
		Kind kind = request.kind;
		if (!request.returned) {
			this.counts.requests++;
		}
		else {
			this.counts.returns.merge((int) (at / (1_000 * MILLI)), 1, Integer::sum);
		}
		Placement wanted = new Placement(request.shape, true, false, request.own, Set.of());
		Optional<FleetEndpoint> chosen = entry.choose(wanted, at);
		if (chosen.isEmpty()) {
			refused(request, Duration.ofMillis(300 + this.random.nextInt(300)), at);
			return;
		}
		FleetEndpoint endpoint = chosen.get();
		Demand demand = new Demand(kind.rank(), true, kind.deferrable(), kind.events(),
				request.arrivedAt + kind.targetMillis() * MILLI - at,
				request.arrivedAt + kind.deadlineMillis() * MILLI - at, request.own * 0x9E3779B97F4A7C15L);
		PoolAdmission admission = entry.admission(at).orElseThrow();
		if (this.mode == Mode.ORACLE) {
			Optional<Engine> served = oracleChoice(request, endpoint, at);
			if (served.isEmpty()) {
				refused(request, admission.retryDelay(wanted, demand, at), at);
				return;
			}
			String instance = this.engines.entrySet()
				.stream()
				.filter((one) -> one.getValue() == served.get())
				.findFirst()
				.orElseThrow()
				.getKey();
			endpoint = new FleetEndpoint(instance, "pool", "127.0.0.1:1", "dc", SLOTS, false);
		}
		else if (this.mode == Mode.ADMISSION) {
			AdmissionDecision decision = admission.decide(endpoint, wanted, demand, at);
			if (!decision.reason().isAdmitted()) {
				this.counts.refusedWhileIdle += isCapacityIdle() ? 1 : 0;
				refused(request, decision.retryAfter(), at);
				return;
			}
			endpoint = decision.endpoint();
		}
		send(request, entry, endpoint.instance(), wanted, demand, admission, at);
	}

	private boolean isCapacityIdle() {
		return this.engines.values().stream().mapToInt(Engine::running).sum() <= this.engines.size() * SLOTS / 2;
	}

	// Knows when each engine would have prefilled the prompt.
	private Optional<Engine> oracleChoice(Request request, FleetEndpoint chosen, long at) {
		Engine preferred = this.engines.get(chosen.instance());
		long deadline = request.arrivedAt + request.kind.deadlineMillis() * MILLI;
		if (preferred.answeredAt(request, at) <= deadline) {
			return Optional.of(preferred);
		}
		return this.engines.values()
			.stream()
			.min(Comparator.comparingLong((engine) -> engine.answeredAt(request, at)))
			.filter((engine) -> engine.answeredAt(request, at) <= deadline);
	}

	private static boolean isLate(Request request, Engine engine, long at) {
		return engine.firstEventAt(request, request.kind.rank(), at) > request.arrivedAt
				+ request.kind.targetMillis() * MILLI;
	}

	private void send(Request request, PoolBalancer entry, String instance, Placement wanted, Demand demand,
			PoolAdmission admission, long at) {
		Kind kind = request.kind;
		boolean late = kind.deferrable()
				&& ((this.mode == Mode.ORACLE) ? isLate(request, this.engines.get(instance), at)
						: entry.isLate(instance, request.shape, demand.targetNanos()));
		QueuePosition position = (!kind.deferrable()) ? QueuePosition.OVERTAKES_OTHERS
				: (late) ? QueuePosition.DEFERRED : QueuePosition.BEHIND_OTHERS;
		request.placed = entry.begin(instance, wanted, position, at);
		if (this.mode == Mode.ADMISSION) {
			admission.sent(request.placed, demand, at);
		}
		request.sentAt = at;
		request.rank = (late) ? DEFERRED : kind.rank();
		this.counts.sent++;
		this.counts.arrivals.merge((int) (at / (1_000 * MILLI)), 1, Integer::sum);
		Engine engine = this.engines.get(instance);
		if (!engine.take(request, at)) {
			request.placed.end(Outcome.FULL, at);
			this.counts.sent--;
			refused(request, Duration.ofMillis(300 + this.random.nextInt(300)), at);
			return;
		}
		long deadline = request.arrivedAt + kind.deadlineMillis() * MILLI;
		schedule(deadline, () -> engine.leave(request, deadline));
	}

	private void refused(Request request, Duration retryAfter, long at) {
		this.counts.refused++;
		long left = request.arrivedAt + request.kind.deadlineMillis() * MILLI - at;
		if (!request.returned) {
			request.returned = true;
			long returnAt = at + Math.min(retryAfter.toNanos(), left / 3);
			schedule(returnAt, () -> arrive(request, returnAt));
		}
	}

	/** Who decides whether a request is sent. */
	enum Mode {

		NONE, ADMISSION, ORACLE

	}

	/** A kind of request; its topics are the shared parts that its prompts have. */
	record Kind(String name, long sharedTokens, long ownTokens, int topics, int events, double perSecond, int rank,
			boolean deferrable, long targetMillis, long deadlineMillis) {
	}

	/** A pool with its entry VMs; speeds repeat over the engines. */
	record Deployment(int vms, int engines, double tokensPerMilli, double[] speeds, boolean noise, List<Kind> kinds) {
	}

	private record Event(long at, long number, Runnable action) {
	}

	/** What the load has come to. */
	static final class Counts {

		final Map<Integer, Integer> returns = new LinkedHashMap<>();

		final Map<Integer, Integer> arrivals = new LinkedHashMap<>();

		int requests;

		int sent;

		int refused;

		int refusedWhileIdle;

		int pastDeadline;

		int answered;

		int onTime;

		double pastDeadlineShare() {
			return (double) this.pastDeadline / this.sent;
		}

	}

	private static final class Request {

		private final Kind kind;

		private final PromptShape shape;

		private final long own;

		private final long topic;

		private final long arrivedAt;

		private long sentAt;

		private int rank;

		private long work;

		private PlacedRequest placed;

		private boolean returned;

		private boolean prefilled;

		private boolean done;

		private Request(Kind kind, long topic, long own, long arrivedAt) {
			this.kind = kind;
			this.topic = topic;
			this.own = own;
			this.arrivedAt = arrivedAt;
			this.shape = new PromptShape(kind.sharedTokens() + kind.ownTokens(), kind.events(), List
				.of(new PromptShape.Part(topic, kind.sharedTokens()), new PromptShape.Part(own, kind.ownTokens())));
		}

	}

	private final class Engine {

		private final Map<Long, Long> parts = new LinkedHashMap<>(16, 0.75f, true);

		private final TreeSet<Request> waiting = new TreeSet<>(Comparator.<Request>comparingInt((one) -> one.rank)
			.thenComparingLong((one) -> one.sentAt)
			.thenComparingLong((one) -> one.own));

		private final double tokensPerMilli;

		private final Random noise;

		private long noiseUntil;

		private double slowness = 1;

		private Request prefilling;

		private long freeAt;

		private int decoding;

		private Engine(double tokensPerMilli, long seed) {
			this.tokensPerMilli = tokensPerMilli;
			this.noise = new Random(seed);
		}

		private int running() {
			return this.decoding + this.waiting.size() + ((this.prefilling != null) ? 1 : 0);
		}

		private double rate(long at) {
			if (AdmissionLoad.this.deployment.noise() && at >= this.noiseUntil) {
				this.slowness = (this.noise.nextDouble() < 0.15) ? 2.5 : 1;
				this.noiseUntil = at + (long) (NOISE_NANOS * (0.5 + this.noise.nextDouble()));
			}
			return this.tokensPerMilli * (1 - 0.5 * this.decoding / SLOTS) / this.slowness;
		}

		private boolean take(Request request, long at) {
			if (running() >= SLOTS + MAX_WAITING) {
				return false;
			}
			this.waiting.add(request);
			prefillNext(at);
			return true;
		}

		private long cached(Request request) {
			return this.parts.containsKey(request.topic) ? request.kind.sharedTokens() : 0;
		}

		private void prefillNext(long at) {
			if (this.prefilling != null || this.waiting.isEmpty() || this.decoding >= SLOTS) {
				return;
			}
			Request next = this.waiting.pollFirst();
			next.work = next.shape.work(cached(next));
			this.parts.put(next.topic, next.kind.sharedTokens());
			while (this.parts.values().stream().mapToLong(Long::longValue).sum() > CACHE_FOR_PARTS) {
				this.parts.remove(this.parts.keySet().iterator().next());
			}
			this.prefilling = next;
			long doneAt = at + (long) (next.work / rate(at) * MILLI);
			this.freeAt = doneAt;
			schedule(doneAt, () -> prefillDone(next, doneAt));
		}

		private void prefillDone(Request request, long at) {
			this.prefilling = null;
			request.prefilled = true;
			if (!request.done) {
				this.decoding++;
				request.placed.streamBegan(at - request.sentAt);
				boolean onTime = at - request.arrivedAt <= request.kind.targetMillis() * MILLI;
				long doneAt = at + request.kind.events() * EVENT_NANOS;
				schedule(doneAt, () -> answered(request, onTime, doneAt));
			}
			prefillNext(at);
		}

		private void answered(Request request, boolean onTime, long at) {
			if (!request.done) {
				request.done = true;
				this.decoding--;
				request.placed.end(Outcome.GOOD, at);
				AdmissionLoad.this.counts.answered++;
				AdmissionLoad.this.counts.onTime += (onTime) ? 1 : 0;
				prefillNext(at);
			}
		}

		private void leave(Request request, long at) {
			if (!request.done) {
				request.done = true;
				AdmissionLoad.this.counts.pastDeadline++;
				request.placed.end(Outcome.UNKNOWN, at);
				if (!this.waiting.remove(request) && request.prefilled) {
					this.decoding--;
					prefillNext(at);
				}
			}
		}

		private long answeredAt(Request request, long at) {
			int rank = (request.kind.deferrable() && isLate(request, this, at)) ? DEFERRED : request.kind.rank();
			return firstEventAt(request, rank, at) + request.kind.events() * EVENT_NANOS;
		}

		private long firstEventAt(Request request, int rank, long at) {
			double ahead = 0;
			for (Request one : this.waiting) {
				if (one.rank <= rank) {
					ahead += one.shape.work(cached(one));
				}
			}
			double rate = rate(at);
			long begin = Math.max(at, (this.prefilling != null) ? this.freeAt : at);
			return begin + (long) ((ahead + request.shape.work(cached(request))) / rate * MILLI);
		}

	}

}
