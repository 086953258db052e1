package org.acaciacourse.core.state;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.state.CommandResult.UsageResult;
import org.acaciacourse.core.state.ControlStateSnapshot.UsageState;
import org.acaciacourse.core.usage.UsageReport;

/**
 * The usage of customers that is fixed and may not have been reported yet. Invariants:
 * the counts of a window never change once they are fixed; windows are fixed in
 * increasing order; at most {@value #MAX_UNREPORTED} are kept, the latest ones.
 * <p>
 * Not thread safe: belongs to one {@link ControlState}.
 */
final class UsageTable {

	/** Ten minutes of windows of five seconds. */
	static final int MAX_UNREPORTED = 120;

	private final TreeMap<Long, UsageReport> unreported = new TreeMap<>();

	private long frozenThrough;

	private long reportedThrough;

	UsageTable(UsageState state) {
		this.frozenThrough = state.frozenThrough();
		this.reportedThrough = state.reportedThrough();
		state.unreported().forEach((report) -> this.unreported.put(report.window(), report));
	}

	UsageResult freeze(Command.FreezeUsage command) {
		this.reportedThrough = Math.max(this.reportedThrough, command.reportedThrough());
		this.unreported.headMap(this.reportedThrough, true).clear();
		UsageReport report = command.report();
		if (report.window() > this.frozenThrough) {
			this.frozenThrough = report.window();
			this.unreported.put(report.window(), report);
		}
		if (this.unreported.size() > MAX_UNREPORTED) {
			this.unreported.pollFirstEntry();
		}
		return new UsageResult(ResultCode.OK, Optional.ofNullable(this.unreported.get(report.window())));
	}

	UsageState state() {
		return new UsageState(this.frozenThrough, this.reportedThrough, List.copyOf(this.unreported.values()));
	}

}
