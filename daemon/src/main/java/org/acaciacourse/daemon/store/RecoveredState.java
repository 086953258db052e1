package org.acaciacourse.daemon.store;

import java.util.List;
import java.util.Optional;

import org.acaciacourse.core.consensus.HardState;
import org.acaciacourse.core.consensus.LogEntry;
import org.acaciacourse.core.consensus.Snapshot;

/**
 * What a data folder held when it was opened.
 * <p>
 * Immutable and thread safe.
 *
 * @param hardState the last durable hard state
 * @param snapshot the latest snapshot, if there is one
 * @param entries the entries after the snapshot, without gaps
 */
public record RecoveredState(HardState hardState, Optional<Snapshot> snapshot, List<LogEntry> entries) {

	public RecoveredState {
		entries = List.copyOf(entries);
	}

	/**
	 * Return whether the folder holds no log entry, snapshot or vote.
	 * @return whether the folder is fresh
	 */
	public boolean isFresh() {
		return this.snapshot.isEmpty() && this.entries.isEmpty() && this.hardState.term() == 0;
	}

}
