package org.acaciacourse.daemon.route;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import io.netty.channel.EventLoop;
import org.acaciacourse.core.balance.PeerLoads;
import org.acaciacourse.core.crash.FeatureFact;
import org.acaciacourse.core.crash.CrashingFeatures;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * Keeps contents that crash endpoints from being sent on. What this VM sees of them goes
 * to the other entry VMs with the load digests, so that they decide alike within a
 * second; what is blocked also goes to control, for VMs that start later.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class CrashGuard {

	/** By then the facts of the other VMs have arrived and the content is judged. */
	private static final long JUDGE_DELAY_MILLIS = 600;

	private final EventLoop loop;

	private final PoolStates pools;

	private final CrashDetector detector;

	private final CrashingFeatures contents = new CrashingFeatures();

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
	 * @param reports receives the contents that are blocked
	 */
	CrashGuard(EventLoop loop, EndpointConnections connections, PoolStates pools, Predicate<String> carriesRequest,
			Reports reports) {
		this.loop = loop;
		this.pools = pools;
		this.reports = reports;
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
	 * Return whether a content must not be sent.
	 * @param content returns a hash of the content, called only if any is suspected
	 * @return for how long it is refused, empty if it may be sent
	 */
	Optional<Duration> refusal(LongSupplier content) {
		if (this.contents.isEmpty()) {
			return Optional.empty();
		}
		OptionalLong nanos = this.contents.refusedFor(content.getAsLong(), System.nanoTime());
		return (nanos.isPresent()) ? Optional.of(Duration.ofNanos(nanos.getAsLong())) : Optional.empty();
	}

	/**
	 * Return whether a content may have crashed an endpoint.
	 * @param content returns a hash of the content, called only if any is suspected
	 * @return whether it is better run apart from others under suspicion
	 */
	boolean isSuspect(LongSupplier content) {
		return !this.contents.isEmpty() && this.contents.isSuspect(content.getAsLong());
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

	private void crashed(FleetEndpoint endpoint, List<LostRequest> requests) {
		int poolSize = Math.max(1, this.pools.size(endpoint.pool()));
		List<FeatureFact> facts = requests.stream()
			.map((request) -> FeatureFact.crashed(request.content(),
					new FeatureFact.Run(PeerLoads.idOf(endpoint.instance()), PeerLoads.idOf(endpoint.pool()), poolSize,
							(int) TimeUnit.NANOSECONDS.toMillis(request.tookNanos()))))
			.toList();
		facts.forEach((fact) -> this.contents.record(fact, System.nanoTime()));
		this.announcer.accept(facts);
		this.loop.schedule(() -> requests.forEach((request) -> judge(request.content())), JUDGE_DELAY_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	private void judge(long content) {
		if (this.contents.isBlocked(content, System.nanoTime())) {
			int crashes = this.contents.crashes(content);
			DecisionLog.write(LogEvent.CONTENT_BLOCKED, Long.toHexString(content), crashes, "own");
			this.announcer.accept(List.of(FeatureFact.blocked(content)));
			this.reports.contentBlocked(content, crashes);
		}
	}

	/**
	 * Record that an endpoint has run a request to its end.
	 * @param content returns a hash of the content, called only if any is suspected
	 */
	void answered(LongSupplier content) {
		if (isSuspect(content)) {
			FeatureFact fact = FeatureFact.answered(content.getAsLong());
			this.contents.record(fact, System.nanoTime());
			this.announcer.accept(List.of(fact));
		}
	}

	/**
	 * Record what another entry VM has seen.
	 * @param fact the fact
	 */
	void receive(FeatureFact fact) {
		boolean news = this.contents.record(fact, System.nanoTime());
		if (news && fact.kind() == FeatureFact.Kind.BLOCKED) {
			DecisionLog.write(LogEvent.CONTENT_BLOCKED, Long.toHexString(fact.content()),
					this.contents.crashes(fact.content()), "entry");
		}
	}

	/**
	 * Record that control keeps a content as one that crashes endpoints.
	 * @param content a hash of the content
	 * @param crashes the number of endpoints that it has crashed
	 */
	void reported(long content, int crashes) {
		if (crashes > 1 && this.contents.record(FeatureFact.blocked(content), System.nanoTime())) {
			DecisionLog.write(LogEvent.CONTENT_BLOCKED, Long.toHexString(content), crashes, "control");
		}
	}

	/** Forget what is too old to count; called periodically. */
	void sweep() {
		this.contents.expire(System.nanoTime());
	}

	/** Receives the contents that this VM blocks. */
	@FunctionalInterface
	interface Reports {

		/**
		 * A content that was sent by this VM is blocked.
		 * @param content a hash of the content
		 * @param crashes the number of endpoints that it has crashed
		 */
		void contentBlocked(long content, int crashes);

	}

}
