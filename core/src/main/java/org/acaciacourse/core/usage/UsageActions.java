package org.acaciacourse.core.usage;

/**
 * The actions that a {@link UsageReporter} requests. They are called on its thread and
 * must not call it before they return. Each one but {@link #release} is followed by the
 * call that is named, and by {@link UsageReporter#stepFailed} if it fails.
 */
public interface UsageActions {

	/**
	 * Read which windows are fixed, then call {@link UsageReporter#stateRead}.
	 */
	void readState();

	/**
	 * Collect the counts of a window from all control VMs, then call
	 * {@link UsageReporter#collected}.
	 * @param window the window
	 */
	void collect(long window);

	/**
	 * Fix the usage of a window in the replicated state, then call
	 * {@link UsageReporter#frozen}.
	 * @param report the usage
	 * @param reportedThrough the latest window up to which all have been reported
	 */
	void freeze(UsageReport report, long reportedThrough);

	/**
	 * Report a window to the platform, then call {@link UsageReporter#answered}. The
	 * lease must be checked again right before the call is written.
	 * @param report the usage as it is fixed
	 * @param fencingNumber the fencing number to send
	 */
	void send(UsageReport report, long fencingNumber);

	/**
	 * Release the lease, so that a VM asks for it anew and with a higher fencing number.
	 * @param fencingNumber the fencing number that is not used any more
	 * @param abstainNanos for how long this VM leaves it to the others
	 */
	void release(long fencingNumber, long abstainNanos);

	/**
	 * State the counts with which a window is about to be fixed, for the log.
	 * @param report the usage
	 * @param complete whether all live entry VMs had told their counts
	 */
	void fixed(UsageReport report, boolean complete);

}
