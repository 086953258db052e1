package org.acaciacourse.core.dispatch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.acaciacourse.core.dispatch.learn.Average;
import org.acaciacourse.core.dispatch.retry.RetryBudget;
import org.acaciacourse.core.model.Endpoint;

/**
 * What this VM knows of one endpoint: its own runs there, the last load report corrected
 * by what this VM sent and got back since, and the speed that it observed.
 * <p>
 * Invariants: the estimate of the load is never below the own runs; prefix hints are
 * bounded. An endpoint that failed gets one request at a time until one succeeds.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class EndpointView {

	private static final int PREFIXES_KEPT = 1_024;

	private static final int ENDED_KEPT = 64;

	private static final long FIRST_PAUSE_NANOS = 1_000_000_000L;

	private static final long SHORT_PAUSE_NANOS = 200_000_000L;

	private static final int MAX_PAUSE_SHIFT = 5;

	private static final int FAILURES_FOR_PAUSE = 3;

	private static final double RETRY_RESERVE = 32;

	private static final double RETRY_RATIO = 0.2;

	final String name;

	final List<Run> runs = new ArrayList<>();

	/** Observed nanoseconds between tokens. */
	final Average tokenGap = new Average(0.05);

	final RetryBudget retries = new RetryBudget(RETRY_RESERVE, RETRY_RATIO);

	Endpoint endpoint;

	/** How much slower than its peers it is; 1 for an ordinary endpoint. */
	double slowness = 1;

	/** Set aside for a request that may crash it. */
	boolean quarantined;

	private final Set<Long> prefixes = new LinkedHashSet<>();

	private final long[] endedSentAt = new long[ENDED_KEPT];

	private final long[] endedAt = new long[ENDED_KEPT];

	private int endedNext;

	private long lastUse;

	private EndpointStatus status = EndpointStatus.LIVE;

	private long lastSequence = Long.MIN_VALUE;

	private long reportedAt = Long.MIN_VALUE;

	private int estimate;

	private int tickets;

	private int pendingPrompt;

	private long pausedUntil = Long.MIN_VALUE;

	private int failures;

	private long fullUntil = Long.MIN_VALUE;

	EndpointView(Endpoint endpoint) {
		this.name = endpoint.name();
		this.endpoint = endpoint;
	}

	void status(EndpointStatus next) {
		if (next == EndpointStatus.LIVE && this.status == EndpointStatus.GONE) {
			restarted();
		}
		this.status = next;
	}

	private void restarted() {
		this.failures = 0;
		this.pausedUntil = Long.MIN_VALUE;
		this.prefixes.clear();
		this.tokenGap.reset();
	}

	// Take a report. One that repeats its sequence is frozen and tells nothing, which
	// lets the last good one grow stale.
	void report(LoadReport report, SlotDealer dealer, long now) {
		if (report.sequence() == this.lastSequence) {
			return;
		}
		this.lastSequence = report.sequence();
		long measuredAt = now - report.ageNanos();
		this.reportedAt = measuredAt;
		this.estimate = report.running() + report.queued() + sentAfter(measuredAt) - endedAfter(measuredAt);
		this.tickets = endedAfter(measuredAt) - sentAfter(measuredAt);
		int room = usableSlots() - report.running() - report.queued();
		this.tickets += dealer.deal(room, this.name, report.sequence());
	}

	private int sentAfter(long time) {
		int count = 0;
		for (Run run : this.runs) {
			count += (run.sentAt > time) ? 1 : 0;
		}
		return count;
	}

	private int endedAfter(long time) {
		int count = 0;
		for (int i = 0; i < ENDED_KEPT; i++) {
			count += (this.endedAt[i] > time && this.endedSentAt[i] <= time) ? 1 : 0;
		}
		return count;
	}

	void started(Run run) {
		this.runs.add(run);
		this.estimate++;
		this.tickets--;
		this.pendingPrompt += run.pending.info.promptTokens();
		this.lastUse = run.id;
		this.retries.earn();
	}

	// Return a number that grows with each use of any endpoint.
	long lastUse() {
		return this.lastUse;
	}

	void finished(Run run, long now) {
		this.runs.remove(run);
		this.estimate--;
		this.tickets++;
		this.pendingPrompt -= (run.tokens == 0) ? run.pending.info.promptTokens() : 0;
		this.endedSentAt[this.endedNext] = run.sentAt;
		this.endedAt[this.endedNext] = now;
		this.endedNext = (this.endedNext + 1) % ENDED_KEPT;
	}

	// Return the requests at the endpoint, of all VMs. Without a trusted report each VM
	// assumes that the others hold as much as it does itself, which leaves it its own
	// part of the slots.
	int occupancy(Tuning tuning, int entryCount, long now) {
		int own = this.runs.size();
		if (!hasFreshReport(tuning.staleNanos(), now)) {
			return own * entryCount;
		}
		return Math.max(own, this.estimate);
	}

	// Return whether one more request has room. What many VMs see free at the same time
	// is shared by lot once it is scarce: each draws its expected part at each report,
	// and may use again what its own requests gave back. Without the lot all VMs with
	// something waiting send it to the one free slot, and the losers wait inside the
	// engine, past their target and where no order of ours reaches them.
	boolean hasRoom(Tuning tuning, int entryCount, long now) {
		int room = usableSlots() - occupancy(tuning, entryCount, now);
		if (room <= 0) {
			return false;
		}
		boolean plenty = room > this.endpoint.slots() * tuning.scarce();
		return plenty || this.tickets > 0 || !hasFreshReport(tuning.staleNanos(), now);
	}

	void firstToken(Run run) {
		this.pendingPrompt -= run.pending.info.promptTokens();
	}

	int pendingPrompt() {
		return this.pendingPrompt;
	}

	boolean hasFreshReport(long staleNanos, long now) {
		return this.reportedAt != Long.MIN_VALUE && now - this.reportedAt <= staleNanos;
	}

	// Return the slots to use: a straggler gets less, but never nothing.
	int usableSlots() {
		if (this.slowness <= 1) {
			return this.endpoint.slots();
		}
		return Math.max(1, (int) (this.endpoint.slots() / this.slowness));
	}

	boolean isInService() {
		return this.status.acceptsWork() && !this.endpoint.drained();
	}

	boolean acceptsWork(long now) {
		if (!isInService() || now < this.pausedUntil || now < this.fullUntil) {
			return false;
		}
		return this.failures < FAILURES_FOR_PAUSE || this.runs.isEmpty();
	}

	boolean isHealthy() {
		return isInService() && this.failures < FAILURES_FOR_PAUSE;
	}

	void refusedWork(long now) {
		this.fullUntil = now + SHORT_PAUSE_NANOS;
	}

	void succeeded() {
		this.failures = 0;
		this.pausedUntil = Long.MIN_VALUE;
	}

	// Note a failure. A crash or a refused connection is certain and pauses the endpoint
	// at once; a single lost stream may be the fault of the path, so that it takes
	// several. The pause doubles up to half a minute and ends with a single probe.
	void failed(AttemptOutcome outcome, long now, double jitter) {
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
		this.pausedUntil = now + (long) ((FIRST_PAUSE_NANOS << shift) * jitter);
	}

	void prefix(long hash, boolean held) {
		this.prefixes.remove(hash);
		if (!held) {
			return;
		}
		this.prefixes.add(hash);
		if (this.prefixes.size() > PREFIXES_KEPT) {
			Iterator<Long> oldest = this.prefixes.iterator();
			oldest.next();
			oldest.remove();
		}
	}

	boolean holdsPrefix(long hash) {
		return hash != 0 && this.prefixes.contains(hash);
	}

}
