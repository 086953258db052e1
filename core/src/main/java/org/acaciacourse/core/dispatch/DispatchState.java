package org.acaciacourse.core.dispatch;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.admission.CustomerLimit;
import org.acaciacourse.core.dispatch.retry.RetryBudget;
import org.acaciacourse.core.dispatch.suspect.SuspectTable;
import org.acaciacourse.core.model.Manifest;

/**
 * What the parts of a dispatcher share: requests, runs, endpoints and the manifest in
 * force.
 * <p>
 * Invariants: a request is known by its request number exactly until its final answer;
 * each known request is in {@link #due}.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class DispatchState {

	private static final double RETRY_RESERVE = 64;

	private static final double RETRY_RATIO = 0.1;

	private static final long LONGEST_RETRY_AFTER_NANOS = 120_000_000_000L;

	private static final long LONGEST_HOLD_NANOS = 5_000_000_000L;

	private static final long SHORTEST_RETRY_AFTER_NANOS = 200_000_000L;

	final DispatchActions actions;

	final SplittableRandom random;

	final RunTable runs = new RunTable();

	final Map<Long, PendingRequest> requests = new HashMap<>();

	final TreeSet<PendingRequest> due = new TreeSet<>(
			Comparator.comparingLong((PendingRequest pending) -> pending.dueAt)
				.thenComparingLong((pending) -> pending.info.id()));

	final Map<String, ServingSet> sets = new TreeMap<>();

	final Map<String, EndpointView> endpoints = new TreeMap<>();

	final Map<String, CustomerLimit> limits = new HashMap<>();

	final SuspectTable suspects = new SuspectTable();

	Manifest manifest;

	int entryCount = 1;

	/** The place of this VM among the entry VMs, -1 if unknown. */
	int entryIndex = -1;

	final SlotDealer dealer = new SlotDealer(this);

	boolean draining;

	private final Map<String, RetryBudget> retries = new HashMap<>();

	DispatchState(DispatchActions actions, long seed) {
		this.actions = actions;
		this.random = new SplittableRandom(seed);
	}

	RetryBudget retries(String requestClass) {
		return this.retries.computeIfAbsent(requestClass, (name) -> new RetryBudget(RETRY_RESERVE, RETRY_RATIO));
	}

	// Return a factor around 1 that keeps VMs and retries from moving in step.
	double jitter() {
		return 0.5 + this.random.nextDouble();
	}

	void reschedule(PendingRequest pending, long dueAt) {
		this.due.remove(pending);
		pending.dueAt = dueAt;
		this.due.add(pending);
	}

	// Forget a request that has its final answer.
	void close(PendingRequest pending) {
		pending.state = PendingRequest.State.DONE;
		this.requests.remove(pending.info.id());
		this.due.remove(pending);
		pending.limit.release();
	}

	// Give a request its final answer, wherever it is.
	void finish(PendingRequest pending, ResultCode code, long waitNanos) {
		if (pending.isDone()) {
			return;
		}
		if (pending.state == PendingRequest.State.WAITING) {
			pending.line.remove(pending);
		}
		abandonRun(pending);
		close(pending);
		this.actions.finish(pending.info.id(), code, retryAfter(code, waitNanos));
	}

	// Refuse a request whose target is out of reach.
	void refuseLate(PendingRequest pending, long now) {
		tellUnreachable(pending, pending.line, 0, pending.set.leastTime(pending), now);
		holdPlace(pending, pending.line, now);
		finish(pending, ResultCode.TARGET_UNREACHABLE, pending.targetAt - pending.arrivedAt);
	}

	void tellUnreachable(PendingRequest pending, WaitingLine line, long expectedWait, long leastTime, long now) {
		int healthy = 0;
		int slots = 0;
		for (EndpointView endpoint : pending.set.endpoints) {
			healthy += (endpoint.isHealthy()) ? 1 : 0;
			slots += (endpoint.isHealthy()) ? endpoint.usableSlots() : 0;
		}
		this.actions.unreachable(pending.info.id(),
				new TargetEstimate(now - pending.arrivedAt, expectedWait, leastTime,
						pending.targetAt - pending.arrivedAt, line.aheadOf(pending), pending.set.running, healthy,
						slots, (long) pending.set.meanDuration(pending.info.requestClass())));
	}

	// Keep the place of a refused request from lower ones.
	void holdPlace(PendingRequest pending, WaitingLine line, long now) {
		int lane = line.behaviour.lane(pending.requestClass.tier());
		pending.set.hold(lane, Math.min(pending.targetAt, now + LONGEST_HOLD_NANOS));
	}

	// Cancel the run of a request that needs no answer of it any more.
	void abandonRun(PendingRequest pending) {
		if (pending.run != null && !pending.run.cancelled) {
			pending.run.cancelled = true;
			this.actions.cancel(pending.run.id);
		}
	}

	Optional<Duration> retryAfter(ResultCode code, long waitNanos) {
		if (!code.isRetryable()) {
			return Optional.empty();
		}
		long nanos = (long) (waitNanos * jitter());
		nanos = Math.max(SHORTEST_RETRY_AFTER_NANOS, Math.min(LONGEST_RETRY_AFTER_NANOS, nanos));
		return Optional.of(Duration.ofNanos(nanos));
	}

}
