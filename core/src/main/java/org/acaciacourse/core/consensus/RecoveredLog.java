package org.acaciacourse.core.consensus;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * What a replica finds in its data folder when it starts; all of it is durable.
 * Invariant: the entries follow the snapshot without gaps.
 * <p>
 * Immutable and thread safe.
 *
 * @param hardState the term and the vote
 * @param snapshot the latest snapshot, if there is one
 * @param entries the entries after it
 */
public record RecoveredLog(HardState hardState, Optional<Snapshot> snapshot, List<LogEntry> entries) {

	public RecoveredLog {
		Objects.requireNonNull(hardState, "hardState");
		Objects.requireNonNull(snapshot, "snapshot");
		entries = List.copyOf(entries);
		long expected = snapshot.map(Snapshot::index).orElse(0L) + 1;
		for (LogEntry entry : entries) {
			if (entry.index() != expected) {
				throw new IllegalArgumentException("expected entry " + expected + " but found " + entry.index());
			}
			expected++;
		}
	}

	/**
	 * Return what a new data folder holds: the replica waits until a leader sends it the
	 * log.
	 * @return nothing
	 */
	public static RecoveredLog empty() {
		return new RecoveredLog(new HardState(0, Optional.empty()), Optional.empty(), List.of());
	}

	/**
	 * Return what the first replica of a new system starts from: a log in which it is the
	 * only voter. The caller makes it durable first, and only once in the life of the
	 * system: two such logs are two systems.
	 * @param first the replica
	 * @return a log with one membership
	 */
	public static RecoveredLog bootstrap(Member first) {
		byte[] payload = MembershipCodec.encode(new Membership(List.of(first)));
		LogEntry entry = new LogEntry(1, 1, LogEntry.Kind.MEMBERSHIP, payload);
		return new RecoveredLog(new HardState(1, Optional.of(first.id())), Optional.empty(), List.of(entry));
	}

}
