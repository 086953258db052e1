package org.acaciacourse.daemon.duty;

import java.util.List;
import java.util.concurrent.CompletionStage;

import org.acaciacourse.core.state.CommandResult.UsageResult;
import org.acaciacourse.core.state.ControlStateSnapshot.UsageState;
import org.acaciacourse.core.usage.UsageReport;

/**
 * The usage that the control VMs know: what is fixed in the replicated state and what
 * entry VMs have told since.
 * <p>
 * Thread safe.
 */
public interface UsageStore {

	/**
	 * Return the time of day as the clocks of several VMs tell it.
	 * @return milliseconds since the epoch
	 */
	long timeMillis();

	/**
	 * Read which windows are fixed.
	 * @return the windows; fails if they cannot be read
	 */
	CompletionStage<UsageState> state();

	/**
	 * Add up what all control VMs that can be reached know of a window.
	 * @param window the window
	 * @return the counts
	 */
	CompletionStage<Collected> collect(long window);

	/**
	 * Fix the usage of a window.
	 * @param report the usage
	 * @param reportedThrough the latest window up to which all have been reported
	 * @return the usage that holds; fails if the outcome is unknown
	 */
	CompletionStage<UsageResult> freeze(UsageReport report, long reportedThrough);

	/**
	 * The counts of a window.
	 *
	 * @param report the counts
	 * @param missing the runs of live entry VMs that have not told all of theirs
	 */
	record Collected(UsageReport report, List<String> missing) {

		public Collected {
			missing = List.copyOf(missing);
		}

	}

}
