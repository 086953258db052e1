package org.acaciacourse.core.dispatch;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciacourse.core.code.ResultCode;
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

/**
 * Drives a dispatcher in virtual time and records the actions that it requests.
 */
final class Driver implements DispatchActions {

	static final long SECOND = 1_000_000_000L;

	final List<Attempt> attempts = new ArrayList<>();

	final List<Long> cancelled = new ArrayList<>();

	final Map<Long, ResultCode> finished = new HashMap<>();

	final Map<Long, Optional<Duration>> retryAfters = new HashMap<>();

	final Map<Long, TargetEstimate> estimates = new HashMap<>();

	final Map<Long, Integer> publishedSuspects = new HashMap<>();

	final PolicyDispatcher dispatcher = new PolicyDispatcher(this, 7);

	long now = SECOND;

	private long nextId;

	Driver(String policy, int endpoints, int slots) {
		this.dispatcher.configure(manifest(policy, endpoints, slots, Map.of()), this.now);
	}

	static Manifest manifest(String policy, int endpoints, int slots, Map<String, Double> parameters) {
		Map<String, Policy> policies = new HashMap<>();
		for (PolicyKind kind : PolicyKind.values()) {
			policies.put(kind.label(), new Policy(kind.label(), kind, parameters));
		}
		LatencyTarget firstTokenTarget = new LatencyTarget(LatencyTarget.Kind.FIRST_TOKEN, Duration.ofSeconds(2));
		LatencyTarget wholeAnswerTarget = new LatencyTarget(LatencyTarget.Kind.WHOLE_ANSWER, Duration.ofHours(1));
		Map<String, RequestClass> classes = Map.of("broker",
				new RequestClass("broker", Tier.HIGH, firstTokenTarget, Duration.ofSeconds(60), false, List.of("llm")),
				"night",
				new RequestClass("night", Tier.LOW, wholeAnswerTarget, Duration.ofHours(2), true, List.of("llm")));
		Map<String, Endpoint> declared = new HashMap<>();
		for (int i = 0; i < endpoints; i++) {
			URI address = URI.create("http://127.0.0.1:" + (9000 + i));
			declared.put("llm-" + i, new Endpoint("llm-" + i, "llm", address, "zone-a", slots, false));
		}
		EndpointSet set = new EndpointSet("llm", EndpointSet.Kind.MODEL, Set.of("m"), true, true, true);
		Customer customer = new Customer("c", Set.of(), List.of("broker", "night"), 100_000, 1e6, 1);
		return new Manifest(1, "", new PolicySelection(policy, Optional.empty(), 0), policies, classes,
				Map.of("llm", set), declared, Map.of("c", customer), Map.of(), Set.of());
	}

	long arrive(String requestClass) {
		return arrive(requestClass, ++this.nextId * 31, false);
	}

	long arrive(String requestClass, long content, boolean notRepeated) {
		long id = ++this.nextId;
		this.dispatcher.requestArrived(new RequestInfo(id, "c", requestClass, "llm", content, 0, 100, 0, notRepeated,
				this.now + 7200 * SECOND), this.now);
		return id;
	}

	void advance(long nanos) {
		long end = this.now + nanos;
		while (this.now < end) {
			this.now = Math.min(end, this.now + SECOND / 50);
			this.dispatcher.tick(this.now);
		}
	}

	Attempt lastAttempt() {
		return this.attempts.get(this.attempts.size() - 1);
	}

	Attempt lastAttemptOf(long requestId) {
		List<Attempt> own = this.attempts.stream().filter((attempt) -> attempt.requestId() == requestId).toList();
		return own.get(own.size() - 1);
	}

	long attemptCount(long requestId) {
		return this.attempts.stream().filter((attempt) -> attempt.requestId() == requestId).count();
	}

	void endAttempt(Attempt attempt, AttemptOutcome outcome) {
		this.dispatcher.attemptEnded(attempt.id(), outcome, this.now);
	}

	@Override
	public void dispatch(Attempt attempt) {
		this.attempts.add(attempt);
	}

	@Override
	public void cancel(long attemptId) {
		this.cancelled.add(attemptId);
	}

	@Override
	public void finish(long requestId, ResultCode code, Optional<Duration> retryAfter) {
		if (this.finished.put(requestId, code) != null) {
			throw new AssertionError("second answer to request " + requestId);
		}
		this.retryAfters.put(requestId, retryAfter);
	}

	@Override
	public void targetUnreachable(long requestId, TargetEstimate estimate) {
		this.estimates.put(requestId, estimate);
	}

	@Override
	public void publishSuspect(long contentHash, int crashes) {
		this.publishedSuspects.put(contentHash, crashes);
	}

	@Override
	public void wakeAt(long nanos) {
		// Not needed: advance() ticks every 20 ms.
	}

}
