package org.acaciacourse.bench.decision;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.AttemptOutcome;
import org.acaciacourse.core.dispatch.DispatchActions;
import org.acaciacourse.core.dispatch.LoadReport;
import org.acaciacourse.core.dispatch.PolicyDispatcher;
import org.acaciacourse.core.dispatch.RequestInfo;
import org.acaciacourse.core.model.Customer;
import org.acaciacourse.core.model.Endpoint;
import org.acaciacourse.core.model.EndpointSet;
import org.acaciacourse.core.model.LatencyTarget;
import org.acaciacourse.core.model.Manifest;
import org.acaciacourse.core.model.Policy;
import org.acaciacourse.core.model.PolicyKind;
import org.acaciacourse.core.model.PolicySelection;
import org.acaciacourse.core.model.RequestClass;
import org.acaciacourse.core.model.Tier;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * The time of one decision, from the arrival of a request to its dispatch, and of one
 * token, on a half-loaded dispatcher with fresh reports.
 * <p>
 * Not thread safe: JMH gives each thread its own.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(0)
public class DecisionBenchmark implements DispatchActions {

	private static final int SLOTS = 8;

	private static final long STEP_NANOS = 1_000_000L;

	/** How many endpoints a VM sees: 40, or a node's subset at the design size. */
	@Param({ "40", "96" })
	public int endpoints;

	private final ArrayDeque<Long> running = new ArrayDeque<>();

	private PolicyDispatcher dispatcher;

	private long now;

	private long nextId;

	private long lastAttempt;

	/**
	 * Make a dispatcher and fill half of the slots.
	 */
	@Setup
	public void fill() {
		this.dispatcher = new PolicyDispatcher(this, 1);
		this.dispatcher.configure(manifest(), this.now);
		for (int i = 0; i < this.endpoints * SLOTS / 2; i++) {
			arrive();
		}
	}

	/**
	 * Decide on a request, end the oldest one and take a load report, so that the load
	 * stays the same.
	 * @return the attempt
	 */
	@Benchmark
	public long decision() {
		this.now += STEP_NANOS;
		int endpoint = (int) (this.nextId % this.endpoints);
		this.dispatcher.loadReport(name(endpoint), new LoadReport(this.nextId, SLOTS / 2, 0, STEP_NANOS), this.now);
		this.dispatcher.attemptEnded(this.running.removeFirst(), AttemptOutcome.COMPLETE, this.now);
		arrive();
		return this.lastAttempt;
	}

	/**
	 * Take note of a token.
	 * @return the attempt
	 */
	@Benchmark
	public long token() {
		this.now += STEP_NANOS;
		this.dispatcher.tokensReceived(this.running.peekFirst(), 1, this.now);
		return this.lastAttempt;
	}

	private void arrive() {
		long id = ++this.nextId;
		this.dispatcher.requestArrived(new RequestInfo(id, "c" + (id & 7), "broker", "llm", id, id & 63, 500, 0, false,
				this.now + 60_000_000_000L), this.now);
	}

	private static String name(int index) {
		return "llm-" + index;
	}

	private Manifest manifest() {
		LatencyTarget target = new LatencyTarget(LatencyTarget.Kind.FIRST_TOKEN, Duration.ofSeconds(2));
		RequestClass broker = new RequestClass("broker", Tier.HIGH, target, Duration.ofSeconds(60), false,
				List.of("llm"));
		Map<String, Endpoint> all = new HashMap<>();
		for (int i = 0; i < this.endpoints; i++) {
			URI address = URI.create("http://127.0.0.1:" + (9_000 + i));
			all.put(name(i), new Endpoint(name(i), "llm", address, "zone-a", SLOTS, false));
		}
		Map<String, Customer> customers = new HashMap<>();
		for (int i = 0; i < 8; i++) {
			customers.put("c" + i, new Customer("c" + i, Set.of(), List.of("broker"), 1_000_000, 1e7, 1));
		}
		EndpointSet set = new EndpointSet("llm", EndpointSet.Kind.MODEL, Set.of("m"), true, true, true);
		Policy policy = new Policy("tiered", PolicyKind.TIERED, Map.of());
		return new Manifest(1, "", new PolicySelection("tiered", Optional.empty(), 0), Map.of("tiered", policy),
				Map.of("broker", broker), Map.of("llm", set), all, customers, Map.of(), Set.of());
	}

	@Override
	public void dispatch(Attempt attempt) {
		this.lastAttempt = attempt.id();
		this.running.addLast(attempt.id());
	}

	@Override
	public void cancel(long attemptId) {
		throw new IllegalStateException("nothing is cancelled here");
	}

	@Override
	public void finish(long requestId, ResultCode code, Optional<Duration> retryAfter) {
		throw new IllegalStateException("refused: " + code);
	}

	@Override
	public void publishSuspect(long contentHash, int crashes) {
		throw new IllegalStateException("nothing crashes here");
	}

	@Override
	public void wakeAt(long nanos) {
		// Nothing waits long enough.
	}

}
