package org.acaciacourse.core.usage;

import java.util.List;
import java.util.Objects;

/**
 * What one run of an entry VM's process has counted in the latest windows.
 * <p>
 * Immutable and thread safe.
 *
 * @param run the id of the run
 * @param completeUntil the time up to which the counts are complete, in milliseconds
 * since the epoch; {@link #ENDED} if the process has told its last ones
 * @param windows the counts since the start of the run, by window; windows and customers
 * without a change may be left out
 */
public record RunUsage(String run, long completeUntil, List<UsageReport> windows) {

	/** The process counts no more. */
	public static final long ENDED = Long.MAX_VALUE;

	public RunUsage {
		Objects.requireNonNull(run, "run");
		windows = List.copyOf(windows);
	}

}
