package org.acaciacourse.daemon.route;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.acaciacourse.core.balance.PeerLoads;
import org.acaciacourse.core.crash.CrashingFeatures;
import org.acaciacourse.core.crash.FeatureFact;
import org.acaciacourse.core.crash.RequestFeatures;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * Keeps requests that crash endpoints from being sent on, whether for their content or
 * for a part of their prompt. What this VM sees of the features of requests goes to the
 * other entry VMs with the load digests, so that they decide alike within a second; what
 * is blocked also goes to control, for VMs that start later.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class CrashGuard {

	/** By then the facts of the other VMs have arrived and the features are judged. */
	private static final long JUDGE_DELAY_MILLIS = 1_000;

	/** Bounds the contents that are told of a crash; an engine runs many requests. */
	private static final int MAX_CONTENTS = 16;

	/** Bounds the parts of prompts that are told of a crash. */
	private static final int MAX_PARTS = 32;

	private final EventLoop loop;

	private final PoolStates pools;

	private final CrashDetector detector;

	private final CrashingFeatures features;

	private final Reports reports;

	private Consumer<List<FeatureFact>> announcer = (facts) -> {
	};

	/**
	 * Create a guard.
	 * @param loop the event loop
	 * @param connections the connections to the endpoints
	 * @param pools the pools of the endpoints
	 * @param carriesRequest returns whether a request is on an open connection to an
	 * instance
	 * @param staggerSeed differs between the VMs, so that their blocks end one after the
	 * other
	 * @param reports receives the features that are blocked
	 */
	CrashGuard(EventLoop loop, EndpointConnections connections, PoolStates pools, Predicate<String> carriesRequest,
			long staggerSeed, Reports reports) {
		this.loop = loop;
		this.pools = pools;
		this.reports = reports;
		this.features = new CrashingFeatures(staggerSeed);
		this.detector = new CrashDetector(loop, connections, pools, carriesRequest, this::crashed);
	}

	/**
	 * Set what sends facts to the other VMs.
	 * @param next receives the facts
	 */
	void announcer(Consumer<List<FeatureFact>> next) {
		this.announcer = next;
	}

	/**
	 * Return whether a request must not be sent.
	 * @param request returns its features, called only if any are suspected
	 * @return for how long it is refused, empty if it may be sent
	 */
	Optional<Duration> refusal(Supplier<RequestFeatures> request) {
		if (this.features.isEmpty()) {
			return Optional.empty();
		}
		OptionalLong nanos = this.features.refusedFor(request.get(), System.nanoTime());
		this.features.drainNewlyBlocked().forEach(this::tellBlocked);
		return (nanos.isPresent()) ? Optional.of(Duration.ofNanos(nanos.getAsLong())) : Optional.empty();
	}

	/**
	 * Record that a request is sent.
	 * @param request returns its features, called only if any are suspected
	 */
	void sent(Supplier<RequestFeatures> request) {
		if (!this.features.isEmpty()) {
			this.features.sent(request.get(), System.nanoTime());
		}
	}

	/**
	 * Return whether the content of a request may have crashed an endpoint.
	 * @param request returns its features, called only if any are suspected
	 * @return whether it is better run apart from others under suspicion
	 */
	boolean isSuspect(Supplier<RequestFeatures> request) {
		return !this.features.isEmpty() && this.features.isSuspect(request.get().content());
	}

	/**
	 * Check whether the endpoint of a request has crashed, as its connection broke.
	 * @param endpoint the endpoint
	 * @param request the request
	 * @param onChecked called once the result is known or takes too long
	 */
	void connectionLost(FleetEndpoint endpoint, LostRequest request, Runnable onChecked) {
		this.detector.connectionLost(endpoint, request, onChecked);
	}

	private void crashed(CrashDetector.Crash crash) {
		FleetEndpoint endpoint = crash.endpoint();
		this.pools.versions().crashed(endpoint.instance(), System.nanoTime());
		int poolSize = Math.max(1, this.pools.size(endpoint.pool()));
		long ageMillis = TimeUnit.NANOSECONDS.toMillis(crash.ageNanos());
		Map<Long, Integer> suspects = suspects(crash.lost());
		List<FeatureFact> facts = suspects.entrySet()
			.stream()
			.map((suspect) -> FeatureFact
				.crashed(suspect.getKey(),
						new FeatureFact.Run(PeerLoads.idOf(endpoint.run().key()), PeerLoads.idOf(endpoint.pool()),
								poolSize, suspect.getValue()))
				.aged(ageMillis))
			.toList();
		facts.forEach((fact) -> this.features.record(fact, System.nanoTime()));
		this.announcer.accept(facts);
		this.loop.schedule(() -> judge(crash.lost(), List.copyOf(suspects.keySet())), JUDGE_DELAY_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	// The features of the requests that may have crashed their endpoint, with the
	// milliseconds since the latest request that had them was sent. Those of requests
	// without an answer come first: most endpoints crash as they begin to run a request
	// or to answer it.
	private static Map<Long, Integer> suspects(List<LostRequest> lost) {
		List<LostRequest> likelyFirst = lost.stream()
			.sorted(Comparator.comparing(LostRequest::hasSurvivedParts))
			.toList();
		Map<Long, Integer> parts = new LinkedHashMap<>();
		likelyFirst.stream()
			.filter((request) -> !request.hasSurvivedParts())
			.forEach((request) -> request.features()
				.parts()
				.forEach((part) -> parts.putIfAbsent(part, request.tookMillis())));
		Map<Long, Integer> suspects = new LinkedHashMap<>();
		parts.entrySet().stream().limit(MAX_PARTS).forEach((part) -> suspects.put(part.getKey(), part.getValue()));
		likelyFirst.stream()
			.limit(MAX_CONTENTS)
			.forEach((request) -> suspects.putIfAbsent(request.features().content(), request.tookMillis()));
		return suspects;
	}

	private void judge(List<LostRequest> lost, List<Long> suspects) {
		long now = System.nanoTime();
		lost.forEach((request) -> this.features.refusedFor(request.features(), now));
		this.features.drainNewlyBlocked();
		suspects.stream().filter((feature) -> this.features.isBlocked(feature, now)).forEach(this::tellBlocked);
	}

	private void tellBlocked(long feature) {
		int crashes = this.features.crashes(feature);
		DecisionLog.write(LogEvent.FEATURE_BLOCKED, Long.toHexString(feature), crashes, "own");
		this.announcer.accept(List.of(FeatureFact.blocked(feature)));
		this.reports.featureBlocked(feature, crashes);
	}

	/**
	 * Record that an endpoint has run a request to its end.
	 * @param request returns its features, called only if any are suspected
	 */
	void answered(Supplier<RequestFeatures> request) {
		if (!this.features.isEmpty()) {
			tellAnswered(List.of(request.get().content()), Duration.ZERO);
		}
	}

	/**
	 * Record that an endpoint has survived the parts of a prompt.
	 * @param pool the pool of the endpoint
	 * @param request returns the features, called only if any are suspected
	 * @param sinceBegin the time since the answer began
	 */
	void partsSurvived(String pool, Supplier<RequestFeatures> request, Duration sinceBegin) {
		if (!this.features.isEmpty()) {
			this.features.poolAnswered(PeerLoads.idOf(pool), System.nanoTime() - sinceBegin.toNanos());
			tellAnswered(request.get().parts(), sinceBegin);
		}
	}

	private void tellAnswered(List<Long> answered, Duration age) {
		List<FeatureFact> facts = answered.stream()
			.filter(this.features::isKnown)
			.map((feature) -> FeatureFact.answered(feature).aged(age.toMillis()))
			.toList();
		if (!facts.isEmpty()) {
			facts.forEach((fact) -> this.features.record(fact, System.nanoTime()));
			this.announcer.accept(facts);
		}
	}

	/**
	 * Record what another entry VM has seen.
	 * @param fact the fact
	 */
	void receive(FeatureFact fact) {
		boolean news = this.features.record(fact, System.nanoTime());
		if (news && fact.kind() == FeatureFact.Kind.BLOCKED) {
			DecisionLog.write(LogEvent.FEATURE_BLOCKED, Long.toHexString(fact.feature()),
					this.features.crashes(fact.feature()), "entry");
		}
	}

	/**
	 * Record that control keeps a feature as one that crashes endpoints.
	 * @param feature the feature
	 * @param crashes the number of endpoints that it has crashed
	 */
	void reported(long feature, int crashes) {
		if (crashes > 1 && this.features.record(FeatureFact.blocked(feature), System.nanoTime())) {
			DecisionLog.write(LogEvent.FEATURE_BLOCKED, Long.toHexString(feature), crashes, "control");
		}
	}

	/** Forget what is too old to count; called periodically. */
	void sweep() {
		this.features.expire(System.nanoTime());
	}

	/** Receives the features that this VM blocks. */
	@FunctionalInterface
	interface Reports {

		/**
		 * A feature of requests that were sent by this VM is blocked.
		 * @param feature the feature
		 * @param crashes the number of endpoints that it has crashed
		 */
		void featureBlocked(long feature, int crashes);

	}

}
