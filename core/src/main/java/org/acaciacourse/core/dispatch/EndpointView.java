package org.acaciacourse.core.dispatch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.acaciacourse.core.dispatch.learn.MovingAverage;
import org.acaciacourse.core.dispatch.retry.RetryBudget;
import org.acaciacourse.core.model.Endpoint;

/**
 * This VM's view of one endpoint: its own attempts there, the last load report corrected
 * for attempts started and ended since, and the observed speed.
 * <p>
 * Invariants: the load estimate is never below the number of own attempts; the number of
 * prefix hints is bounded. After repeated failures an endpoint gets one request at a time
 * until one succeeds.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class EndpointView {

	private static final int MAX_PREFIXES = 1_024;

	private static final int MAX_ENDED_ATTEMPTS = 64;

	private static final long INITIAL_PAUSE_NANOS = 1_000_000_000L;

	private static final long SHORT_PAUSE_NANOS = 200_000_000L;

	private static final int MAX_PAUSE_SHIFT = 5;

	private static final int FAILURES_FOR_PAUSE = 3;

	private static final double RETRY_BUDGET_CAPACITY = 32;

	private static final double RETRY_BUDGET_RATIO = 0.2;

	final String name;

	final List<ActiveAttempt> attempts = new ArrayList<>();

	/** The observed time between tokens in nanoseconds. */
	final MovingAverage tokenGap = new MovingAverage(0.05);

	final RetryBudget retryBudget = new RetryBudget(RETRY_BUDGET_CAPACITY, RETRY_BUDGET_RATIO);

	Endpoint definition;

	/** How many times slower than its peers the endpoint is; 1 if it is no straggler. */
	double slowdown = 1;

	/** Reserved for requests that may crash the endpoint. */
	boolean reservedForIsolation;

	private final Set<Long> prefixes = new LinkedHashSet<>();

	private final long[] endedSentAt = new long[MAX_ENDED_ATTEMPTS];

	private final long[] endedAt = new long[MAX_ENDED_ATTEMPTS];

	private int endedNext;

	private long lastAttemptId;

	private EndpointStatus status = EndpointStatus.LIVE;

	private long lastSequence = Long.MIN_VALUE;

	private long reportedAt = Long.MIN_VALUE;

	private int estimatedLoad;

	private int allocatedSlots;

	private int pendingPromptTokens;

	private long pausedUntil = Long.MIN_VALUE;

	private int failures;

	private long fullUntil = Long.MIN_VALUE;

	EndpointView(Endpoint definition) {
		this.name = definition.name();
		this.definition = definition;
	}

	void updateStatus(EndpointStatus next) {
		if (next == EndpointStatus.LIVE && this.status == EndpointStatus.GONE) {
			resetAfterRestart();
		}
		this.status = next;
	}

	private void resetAfterRestart() {
		this.failures = 0;
		this.pausedUntil = Long.MIN_VALUE;
		this.prefixes.clear();
		this.tokenGap.reset();
	}

	// Applies a load report. A repeated sequence number means that the reporter is
	// frozen; such a report is ignored, so that the last good one becomes stale.
	void applyReport(LoadReport report, FreeSlotAllocator slotAllocator, long now) {
		if (report.sequence() == this.lastSequence) {
			return;
		}
		this.lastSequence = report.sequence();
		long measuredAt = now - report.ageNanos();
		this.reportedAt = measuredAt;
		this.estimatedLoad = report.running() + report.queued() + sentAfter(measuredAt) - endedAfter(measuredAt);
		this.allocatedSlots = endedAfter(measuredAt) - sentAfter(measuredAt);
		int freeSlots = usableSlots() - report.running() - report.queued();
		this.allocatedSlots += slotAllocator.allocate(freeSlots, this.name, report.sequence());
	}

	private int sentAfter(long time) {
		int count = 0;
		for (ActiveAttempt attempt : this.attempts) {
			count += (attempt.sentAt > time) ? 1 : 0;
		}
		return count;
	}

	private int endedAfter(long time) {
		int count = 0;
		for (int i = 0; i < MAX_ENDED_ATTEMPTS; i++) {
			count += (this.endedAt[i] > time && this.endedSentAt[i] <= time) ? 1 : 0;
		}
		return count;
	}

	void attemptStarted(ActiveAttempt attempt) {
		this.attempts.add(attempt);
		this.estimatedLoad++;
		this.allocatedSlots--;
		this.pendingPromptTokens += attempt.pending.info.promptTokens();
		this.lastAttemptId = attempt.id;
		this.retryBudget.deposit();
	}

	// Returns the id of the last attempt sent here, which increases with each attempt at
	// any endpoint.
	long lastAttemptId() {
		return this.lastAttemptId;
	}

	void attemptEnded(ActiveAttempt attempt, long now) {
		this.attempts.remove(attempt);
		this.estimatedLoad--;
		this.allocatedSlots++;
		this.pendingPromptTokens -= (attempt.tokens == 0) ? attempt.pending.info.promptTokens() : 0;
		this.endedSentAt[this.endedNext] = attempt.sentAt;
		this.endedAt[this.endedNext] = now;
		this.endedNext = (this.endedNext + 1) % MAX_ENDED_ATTEMPTS;
	}

	// Returns the estimated number of requests of all VMs at the endpoint. Without a
	// fresh report each VM assumes that the others hold as many as it does itself, which
	// limits it to its own part of the slots.
	int occupancy(PolicySettings settings, int entryCount, long now) {
		int own = this.attempts.size();
		if (!hasFreshReport(settings.staleNanos(), now)) {
			return own * entryCount;
		}
		return Math.max(own, this.estimatedLoad);
	}

	// Returns whether there is capacity for one more request. Once free slots are scarce,
	// they are divided among the VMs: each VM is allocated its part at every report and
	// may reuse the slots that its own attempts have released. Without this division all
	// VMs with waiting requests would send one to the same free slot, and the surplus
	// would wait inside the engine, past their target and out of reach of the
	// dispatcher's ordering.
	boolean hasCapacity(PolicySettings settings, int entryCount, long now) {
		int freeSlots = usableSlots() - occupancy(settings, entryCount, now);
		if (freeSlots <= 0) {
			return false;
		}
		boolean plenty = freeSlots > this.definition.slots() * settings.scarce();
		return plenty || this.allocatedSlots > 0 || !hasFreshReport(settings.staleNanos(), now);
	}

	void firstTokenReceived(ActiveAttempt attempt) {
		this.pendingPromptTokens -= attempt.pending.info.promptTokens();
	}

	int pendingPromptTokens() {
		return this.pendingPromptTokens;
	}

	boolean hasFreshReport(long staleNanos, long now) {
		return this.reportedAt != Long.MIN_VALUE && now - this.reportedAt <= staleNanos;
	}

	// Returns the number of slots to use: fewer for a straggler, but at least one.
	int usableSlots() {
		if (this.slowdown <= 1) {
			return this.definition.slots();
		}
		return Math.max(1, (int) (this.definition.slots() / this.slowdown));
	}

	boolean isInService() {
		return this.status.acceptsRequests() && !this.definition.drained();
	}

	boolean acceptsRequests(long now) {
		if (!isInService() || now < this.pausedUntil || now < this.fullUntil) {
			return false;
		}
		return this.failures < FAILURES_FOR_PAUSE || this.attempts.isEmpty();
	}

	boolean isHealthy() {
		return isInService() && this.failures < FAILURES_FOR_PAUSE;
	}

	void attemptRefused(long now) {
		this.fullUntil = now + SHORT_PAUSE_NANOS;
	}

	void attemptSucceeded() {
		this.failures = 0;
		this.pausedUntil = Long.MIN_VALUE;
	}

	// Records a failure. A crash or a failed connection attempt is unambiguous and pauses
	// the endpoint at once. A single lost stream may be a network fault, so that several
	// are needed. The pause doubles up to about 30 s; after it, the endpoint is probed
	// with a single request.
	void attemptFailed(AttemptOutcome outcome, long now, double jitter) {
		boolean certain = outcome == AttemptOutcome.CRASHED || outcome == AttemptOutcome.NOT_SENT;
		if (now < this.pausedUntil) {
			return;
		}
		this.failures = (certain) ? Math.max(FAILURES_FOR_PAUSE, this.failures + 1) : this.failures + 1;
		if (this.failures < FAILURES_FOR_PAUSE) {
			this.pausedUntil = now + (long) (SHORT_PAUSE_NANOS * jitter);
			return;
		}
		int shift = Math.min(MAX_PAUSE_SHIFT, this.failures - FAILURES_FOR_PAUSE);
		this.pausedUntil = now + (long) ((INITIAL_PAUSE_NANOS << shift) * jitter);
	}

	void updatePrefix(long hash, boolean held) {
		this.prefixes.remove(hash);
		if (!held) {
			return;
		}
		this.prefixes.add(hash);
		if (this.prefixes.size() > MAX_PREFIXES) {
			Iterator<Long> oldest = this.prefixes.iterator();
			oldest.next();
			oldest.remove();
		}
	}

	boolean holdsPrefix(long hash) {
		return hash != 0 && this.prefixes.contains(hash);
	}

}
