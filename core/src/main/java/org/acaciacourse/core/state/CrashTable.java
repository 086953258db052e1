package org.acaciacourse.core.state;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

import org.acaciacourse.core.state.ControlStateSnapshot.CrashRecord;

/**
 * The number of endpoints that each request content is known to have crashed. Invariants:
 * the count of a content never decreases while it is kept, except that a suspicion may be
 * cleared; the revision increases with each change; at the size limit the report that
 * changed least recently is evicted.
 * <p>
 * Not thread safe: belongs to one {@link ControlState}.
 */
final class CrashTable {

	static final int MAX_CRASHES = 10_000;

	/** A single crash makes a content a suspect; it does not prove the cause. */
	private static final int SUSPECT_CRASHES = 1;

	private final Map<Long, CrashRecord> byContent = new HashMap<>();

	private final NavigableMap<Long, CrashRecord> byRevision = new TreeMap<>();

	private long revision;

	CrashTable(long revision, List<CrashRecord> crashes) {
		this.revision = revision;
		crashes.forEach(this::put);
	}

	// A report of 0 clears a suspicion. Followers must receive this change: they try
	// suspects one at a time and would otherwise keep waiting for this one. Two or more
	// crashes are proof and are not cleared.
	private static boolean isChange(CrashRecord old, int crashes) {
		if (old == null) {
			return crashes > 0;
		}
		boolean cleared = crashes == 0 && old.crashes() == SUSPECT_CRASHES;
		return cleared || crashes > old.crashes();
	}

	void report(Command.ReportCrash command) {
		CrashRecord old = this.byContent.get(command.contentHash());
		if (!isChange(old, command.crashes())) {
			return;
		}
		if (old != null) {
			this.byRevision.remove(old.revision());
		}
		this.revision++;
		put(new CrashRecord(command.contentHash(), command.crashes(), this.revision));
		if (this.byRevision.size() > MAX_CRASHES) {
			this.byContent.remove(this.byRevision.pollFirstEntry().getValue().contentHash());
		}
	}

	List<CrashRecord> since(long since) {
		return List.copyOf(this.byRevision.tailMap(since, false).values());
	}

	long revision() {
		return this.revision;
	}

	private void put(CrashRecord crash) {
		this.byContent.put(crash.contentHash(), crash);
		this.byRevision.put(crash.revision(), crash);
	}

}
