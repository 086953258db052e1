package org.acaciacourse.core.usage;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;

import org.acaciacourse.core.duty.CallBackoff;
import org.acaciacourse.core.duty.DutyAnswer;
import org.acaciacourse.core.state.ControlStateSnapshot.UsageState;

/**
 * Reports the usage of each window while this VM holds the lease of that duty. A window
 * is collected from all control VMs, fixed in the replicated state and only then sent, so
 * that every holder sends the same counts of it, however often and late a call is carried
 * out. Windows are fixed and sent in their order; those that could not be sent for a
 * while are caught up with.
 * <p>
 * A fencing number that the platform has refused is not used again: the lease is released
 * and acquired anew. A VM that gets no answers releases it too and leaves it to the
 * others for a while, as they may reach the platform.
 * <p>
 * Invariants: only counts that are fixed in the replicated state are sent; at most one
 * action is outstanding; a call is made only with the fencing number of a lease that is
 * held at that moment.
 * <p>
 * Not thread safe: all methods must be called by one thread.
 */
public final class UsageReporter {

	/** How long a call may stay without answer until another VM is to try. */
	private static final long UNREACHED_NANOS = Duration.ofMillis(2_500).toNanos();

	/** Steps have shorter timeouts of their own; one whose end was lost is repeated. */
	private static final long STEP_TIMEOUT_NANOS = Duration.ofSeconds(10).toNanos();

	/** How many windows are caught up with. */
	private static final int MAX_BEHIND = 24;

	/** Entry VMs may have served before a VM first acquired the lease. */
	private static final int FIRST_BEHIND = 4;

	private final UsageTiming timing;

	private final CallBackoff backoff;

	private final UsageActions actions;

	private final SortedMap<Long, UsageReport> unreported = new TreeMap<>();

	private long currentFencingNumber;

	private boolean outstanding;

	private long outstandingSince;

	/** Whether the current fencing number is not used any more. */
	private boolean givenUp;

	private boolean stateKnown;

	private long frozenThrough;

	private long reportedThrough;

	/** The first window to collect. */
	private long nextWindow;

	private long collectNotBefore;

	private long unreachedSince;

	private boolean unreached;

	/**
	 * Create a reporter.
	 * @param timing the timing
	 * @param backoff times the calls to the platform
	 * @param actions carries out the actions that it requests
	 */
	public UsageReporter(UsageTiming timing, CallBackoff backoff, UsageActions actions) {
		this.timing = timing;
		this.backoff = backoff;
		this.actions = actions;
	}

	/**
	 * Carry out the next step if one is due. Must be called regularly.
	 * @param fencingNumber the fencing number of the lease, if it is held now
	 * @param timeMillis the time of day in milliseconds since the epoch
	 * @param now the monotonic time in nanoseconds
	 */
	public void tick(OptionalLong fencingNumber, long timeMillis, long now) {
		if (fencingNumber.isEmpty()) {
			return;
		}
		if (fencingNumber.getAsLong() != this.currentFencingNumber) {
			begin(fencingNumber.getAsLong(), now);
		}
		boolean waits = this.outstanding && now - this.outstandingSince < STEP_TIMEOUT_NANOS;
		if (waits || this.givenUp) {
			return;
		}
		this.outstandingSince = now;
		if (!this.stateKnown) {
			this.outstanding = true;
			this.actions.readState();
		}
		else if (!this.unreported.isEmpty() && this.backoff.mayCall(now)) {
			this.outstanding = true;
			this.backoff.called(now);
			this.actions.send(this.unreported.get(this.unreported.firstKey()), this.currentFencingNumber);
		}
		else {
			collectIfDue(timeMillis, now);
		}
	}

	// Another VM may have fixed and reported windows since this one held the lease.
	private void begin(long fencingNumber, long now) {
		this.currentFencingNumber = fencingNumber;
		this.outstanding = false;
		this.givenUp = false;
		this.stateKnown = false;
		this.unreached = false;
		this.collectNotBefore = now;
	}

	private void collectIfDue(long timeMillis, long now) {
		long current = this.timing.windows().windowAt(timeMillis);
		if (this.nextWindow == 0) {
			this.nextWindow = current - FIRST_BEHIND;
		}
		// All VMs may have been down for long.
		this.nextWindow = Math.max(this.nextWindow, current - MAX_BEHIND);
		boolean settled = timeMillis >= this.timing.windows().end(this.nextWindow) + this.timing.settleMillis();
		if (settled && now - this.collectNotBefore >= 0) {
			this.outstanding = true;
			this.collectNotBefore = now + this.timing.collectNanos();
			this.actions.collect(this.nextWindow);
		}
	}

	/**
	 * Handle the windows that are fixed.
	 * @param fencingNumber the fencing number of the lease when they were asked for
	 * @param state the windows
	 */
	public void stateRead(long fencingNumber, UsageState state) {
		if (!isCurrent(fencingNumber)) {
			return;
		}
		this.outstanding = false;
		this.stateKnown = true;
		this.frozenThrough = state.frozenThrough();
		this.reportedThrough = Math.max(this.reportedThrough, state.reportedThrough());
		this.unreported.clear();
		state.unreported()
			.stream()
			.filter((report) -> report.window() > this.reportedThrough)
			.forEach((report) -> this.unreported.put(report.window(), report));
		if (this.frozenThrough > 0) {
			this.nextWindow = this.frozenThrough + 1;
		}
	}

	/**
	 * Handle the counts of a window.
	 * @param fencingNumber the fencing number of the lease when they were asked for
	 * @param report the counts
	 * @param complete whether all live entry VMs have told all of theirs
	 * @param timeMillis the time of day in milliseconds since the epoch
	 */
	public void collected(long fencingNumber, UsageReport report, boolean complete, long timeMillis) {
		if (!isCurrent(fencingNumber)) {
			return;
		}
		this.outstanding = false;
		long waited = timeMillis - this.timing.windows().end(report.window());
		if (!complete && waited < this.timing.longestWaitMillis()) {
			return;
		}
		if (this.frozenThrough == 0 && report.counts().isEmpty()) {
			// Nothing has been served yet.
			this.nextWindow = report.window() + 1;
			return;
		}
		this.outstanding = true;
		this.actions.fixed(report, complete);
		this.actions.freeze(report, this.reportedThrough);
	}

	/**
	 * Handle a window that has been fixed.
	 * @param fencingNumber the fencing number of the lease when that was asked for
	 * @param window the window
	 * @param report the counts that hold for it, empty if they were reported before
	 */
	public void frozen(long fencingNumber, long window, Optional<UsageReport> report) {
		if (!isCurrent(fencingNumber)) {
			return;
		}
		this.outstanding = false;
		this.frozenThrough = Math.max(this.frozenThrough, window);
		this.nextWindow = this.frozenThrough + 1;
		this.collectNotBefore = Long.MIN_VALUE / 2;
		report.ifPresent((fixed) -> this.unreported.put(fixed.window(), fixed));
	}

	/**
	 * Handle the platform's answer to a report.
	 * @param fencingNumber the fencing number that was sent
	 * @param window the window
	 * @param answer the answer
	 * @param now the monotonic time in nanoseconds
	 */
	public void answered(long fencingNumber, long window, DutyAnswer answer, long now) {
		if (!isCurrent(fencingNumber)) {
			return;
		}
		this.outstanding = false;
		if (answer.isDone()) {
			this.backoff.succeeded();
			this.unreported.remove(window);
			this.reportedThrough = Math.max(this.reportedThrough, window);
		}
		else {
			this.backoff.failed(now);
		}
		recordReach(answer, now);
		if (answer == DutyAnswer.FENCED) {
			release(0);
		}
	}

	private void recordReach(DutyAnswer answer, long now) {
		if (answer == DutyAnswer.NOT_SENT) {
			return;
		}
		if (answer.isReached()) {
			this.unreached = false;
		}
		else if (!this.unreached) {
			this.unreached = true;
			this.unreachedSince = now;
		}
		else if (now - this.unreachedSince >= UNREACHED_NANOS) {
			release(this.timing.abstainNanos());
		}
	}

	// The reporter waits for a lease with another number.
	private void release(long abstainNanos) {
		this.givenUp = true;
		this.actions.release(this.currentFencingNumber, abstainNanos);
	}

	/**
	 * Handle a step other than a call to the platform that failed. It is repeated.
	 * @param fencingNumber the fencing number of the lease when it was begun
	 * @param now the monotonic time in nanoseconds
	 */
	public void stepFailed(long fencingNumber, long now) {
		if (isCurrent(fencingNumber)) {
			this.outstanding = false;
			this.collectNotBefore = now + this.timing.collectNanos();
		}
	}

	private boolean isCurrent(long fencingNumber) {
		return fencingNumber == this.currentFencingNumber;
	}

	/**
	 * Return the windows that are fixed and not reported yet.
	 * @return the reports in their order
	 */
	public List<UsageReport> unreported() {
		return List.copyOf(this.unreported.values());
	}

	/**
	 * Return the latest window that is fixed, as far as this VM knows.
	 * @return the window, 0 if none is
	 */
	public long frozenThrough() {
		return this.frozenThrough;
	}

	/**
	 * Return the latest window up to which all have been reported, as far as this VM
	 * knows.
	 * @return the window, 0 if none is
	 */
	public long reportedThrough() {
		return this.reportedThrough;
	}

}
