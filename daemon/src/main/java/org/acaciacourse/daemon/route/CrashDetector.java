package org.acaciacourse.daemon.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.netty.channel.EventLoop;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * Tells endpoints that crash from connections that break for another reason. An endpoint
 * has crashed if all its connections end at once and it refuses new ones. One that
 * accepts a connection, directly or through another entry VM, has only lost the others;
 * one that does not respond may be out of reach; one that is leaving has stopped as
 * planned.
 * <p>
 * Invariant: at most one check of an endpoint is in progress, and it ends within
 * {@value #MAX_CHECK_MILLIS} ms for the requests that wait for it.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class CrashDetector {

	/** The connections of a process that ends are closed within less time. */
	private static final long CLOSING_MILLIS = 5;

	/** A refusal takes a round trip, also through another entry VM. */
	private static final long MAX_CHECK_MILLIS = 100;

	/** Bounds the contents in a log line; an engine runs many requests. */
	private static final int MAX_LOGGED_CONTENTS = 16;

	private final EventLoop loop;

	private final EndpointConnections connections;

	private final PoolStates pools;

	private final Predicate<String> carriesRequest;

	private final Consumer<Crash> onCrash;

	private final Map<String, Check> checks = new HashMap<>();

	/**
	 * Create a detector.
	 * @param loop the event loop
	 * @param connections the connections to the endpoints
	 * @param pools the pools of the endpoints
	 * @param carriesRequest returns whether a request is on an open connection to an
	 * instance
	 * @param onCrash receives each endpoint that has crashed
	 */
	CrashDetector(EventLoop loop, EndpointConnections connections, PoolStates pools, Predicate<String> carriesRequest,
			Consumer<Crash> onCrash) {
		this.loop = loop;
		this.connections = connections;
		this.pools = pools;
		this.carriesRequest = carriesRequest;
		this.onCrash = onCrash;
	}

	/**
	 * Check whether an endpoint has crashed, as the connection of a request broke.
	 * @param endpoint the endpoint
	 * @param request the request
	 * @param onChecked called once the result is known or takes too long
	 */
	void connectionLost(FleetEndpoint endpoint, LostRequest request, Runnable onChecked) {
		Check check = this.checks.computeIfAbsent(endpoint.instance(), (instance) -> schedule(endpoint));
		check.lost.add(request);
		if (check.released) {
			onChecked.run();
		}
		else {
			check.waiting.add(onChecked);
		}
	}

	private Check schedule(FleetEndpoint endpoint) {
		Check check = new Check(endpoint);
		this.loop.schedule(() -> start(check), CLOSING_MILLIS, TimeUnit.MILLISECONDS);
		this.loop.schedule(check::release, MAX_CHECK_MILLIS, TimeUnit.MILLISECONDS);
		return check;
	}

	private void start(Check check) {
		String instance = check.endpoint.instance();
		if (this.connections.hasIdle(instance) || this.carriesRequest.test(instance)) {
			ended(check, false);
		}
		else {
			this.connections.checkRefusal(check.endpoint, (refused) -> ended(check, refused));
		}
	}

	private void ended(Check check, boolean refused) {
		this.checks.remove(check.endpoint.instance());
		if (refused && isStaying(check.endpoint)) {
			logCrash(check);
			this.onCrash.accept(new Crash(check.endpoint, check.latestFirst(), System.nanoTime() - check.startedAt));
		}
		check.release();
	}

	private boolean isStaying(FleetEndpoint endpoint) {
		Optional<FleetEndpoint> listed = this.pools.endpoint(endpoint.instance());
		return listed.isPresent() && !listed.get().leaving();
	}

	private static void logCrash(Check check) {
		List<LostRequest> lost = check.latestFirst();
		List<LostRequest> suspects = lost.stream().filter((request) -> !request.hasSurvivedParts()).toList();
		DecisionLog.write(LogEvent.ENDPOINT_CRASHED, check.endpoint.instance(), check.endpoint.pool(), lost.size(),
				suspects.size(), lost.get(0).tookMillis(),
				lost.stream()
					.limit(MAX_LOGGED_CONTENTS)
					.map((request) -> Long.toHexString(request.features().content()))
					.toList(),
				suspects.stream()
					.flatMap((request) -> request.features().parts().stream())
					.distinct()
					.map(Long::toHexString)
					.toList());
	}

	/** A check that is in progress, and the requests that the endpoint has lost. */
	private static final class Check {

		private final FleetEndpoint endpoint;

		private final List<LostRequest> lost = new ArrayList<>();

		private final List<Runnable> waiting = new ArrayList<>();

		private final long startedAt = System.nanoTime();

		private boolean released;

		private Check(FleetEndpoint endpoint) {
			this.endpoint = endpoint;
		}

		private List<LostRequest> latestFirst() {
			return this.lost.stream().sorted(Comparator.comparingLong(LostRequest::tookNanos)).toList();
		}

		private void release() {
			this.released = true;
			List<Runnable> all = List.copyOf(this.waiting);
			this.waiting.clear();
			all.forEach(Runnable::run);
		}

	}

	/**
	 * An endpoint that has crashed.
	 *
	 * @param endpoint the endpoint
	 * @param lost the requests of this VM that were there, the latest one first
	 * @param ageNanos nanoseconds since its connections broke
	 */
	record Crash(FleetEndpoint endpoint, List<LostRequest> lost, long ageNanos) {

		Crash {
			lost = List.copyOf(lost);
		}

	}

}
