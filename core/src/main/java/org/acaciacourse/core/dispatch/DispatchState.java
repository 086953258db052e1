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
 * State shared by the parts of a dispatcher: requests, attempts, endpoints and the
 * manifest in force.
 * <p>
 * Invariants: a request is registered under its id until its final response and no
 * longer; each registered request is in {@link #dueRequests}.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class DispatchState {

	private static final double RETRY_BUDGET_CAPACITY = 64;

	private static final double RETRY_BUDGET_RATIO = 0.1;

	private static final long MAX_RETRY_AFTER_NANOS = 120_000_000_000L;

	private static final long MAX_LANE_BLOCK_NANOS = 5_000_000_000L;

	private static final long MIN_RETRY_AFTER_NANOS = 200_000_000L;

	final DispatchActions actions;

	final SplittableRandom random;

	final AttemptTable attempts = new AttemptTable();

	final Map<Long, PendingRequest> requests = new HashMap<>();

	final TreeSet<PendingRequest> dueRequests = new TreeSet<>(
			Comparator.comparingLong((PendingRequest pending) -> pending.dueAt)
				.thenComparingLong((pending) -> pending.info.id()));

	final Map<String, EndpointSetState> sets = new TreeMap<>();

	final Map<String, EndpointView> endpoints = new TreeMap<>();

	final Map<String, CustomerLimit> limits = new HashMap<>();

	final SuspectTable suspects = new SuspectTable();

	Manifest manifest;

	int entryCount = 1;

	/** The index of this VM among the entry VMs, -1 if unknown. */
	int entryIndex = -1;

	final FreeSlotAllocator slotAllocator = new FreeSlotAllocator(this);

	boolean draining;

	private final Map<String, RetryBudget> retryBudgets = new HashMap<>();

	DispatchState(DispatchActions actions, long seed) {
		this.actions = actions;
		this.random = new SplittableRandom(seed);
	}

	RetryBudget retryBudget(String requestClass) {
		return this.retryBudgets.computeIfAbsent(requestClass,
				(name) -> new RetryBudget(RETRY_BUDGET_CAPACITY, RETRY_BUDGET_RATIO));
	}

	// Returns a random factor around 1 that keeps VMs and retries from synchronizing.
	double jitter() {
		return 0.5 + this.random.nextDouble();
	}

	void reschedule(PendingRequest pending, long dueAt) {
		this.dueRequests.remove(pending);
		pending.dueAt = dueAt;
		this.dueRequests.add(pending);
	}

	// Removes a request that has its final response.
	void close(PendingRequest pending) {
		pending.state = PendingRequest.State.DONE;
		this.requests.remove(pending.info.id());
		this.dueRequests.remove(pending);
		pending.limit.release();
	}

	// Sends a request its final response, whether it waits or runs.
	void finish(PendingRequest pending, ResultCode code, long waitNanos) {
		if (pending.isDone()) {
			return;
		}
		if (pending.state == PendingRequest.State.WAITING) {
			pending.queue.remove(pending);
		}
		cancelAttempt(pending);
		close(pending);
		this.actions.finish(pending.info.id(), code, retryAfter(code, waitNanos));
	}

	// Refuses a waiting request whose target can no longer be met.
	void refuseUnreachable(PendingRequest pending, long now) {
		reportUnreachable(pending, pending.queue, 0, pending.endpointSet.minServiceTime(pending), now);
		blockLowerLanes(pending, pending.queue, now);
		finish(pending, ResultCode.TARGET_UNREACHABLE, pending.targetAt - pending.arrivedAt);
	}

	void reportUnreachable(PendingRequest pending, PolicyQueue queue, long expectedWait, long minServiceTime,
			long now) {
		int healthy = 0;
		int slots = 0;
		for (EndpointView endpoint : pending.endpointSet.endpoints) {
			healthy += (endpoint.isHealthy()) ? 1 : 0;
			slots += (endpoint.isHealthy()) ? endpoint.usableSlots() : 0;
		}
		this.actions.targetUnreachable(pending.info.id(),
				new TargetEstimate(now - pending.arrivedAt, expectedWait, minServiceTime,
						pending.targetAt - pending.arrivedAt, queue.aheadOf(pending),
						pending.endpointSet.activeAttempts, healthy, slots,
						(long) pending.endpointSet.meanDuration(pending.info.requestClass())));
	}

	// Keeps lower lanes from using the capacity that a refused request was denied.
	void blockLowerLanes(PendingRequest pending, PolicyQueue queue, long now) {
		int lane = queue.behaviour.lane(pending.requestClass.tier());
		pending.endpointSet.blockLanesBelow(lane, Math.min(pending.targetAt, now + MAX_LANE_BLOCK_NANOS));
	}

	// Cancels the active attempt of a request, if any.
	void cancelAttempt(PendingRequest pending) {
		if (pending.attempt != null && !pending.attempt.cancelled) {
			pending.attempt.cancelled = true;
			this.actions.cancel(pending.attempt.id);
		}
	}

	Optional<Duration> retryAfter(ResultCode code, long waitNanos) {
		if (!code.isRetryable()) {
			return Optional.empty();
		}
		long nanos = (long) (waitNanos * jitter());
		nanos = Math.max(MIN_RETRY_AFTER_NANOS, Math.min(MAX_RETRY_AFTER_NANOS, nanos));
		return Optional.of(Duration.ofNanos(nanos));
	}

}
