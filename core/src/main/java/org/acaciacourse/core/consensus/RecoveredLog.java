package org.acaciacourse.core.consensus;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The content of a replica's data folder when it starts. All of it is durable. Invariant:
 * the entries follow the snapshot without gaps.
 * <p>
 * Immutable and thread safe.
 *
 * @param hardState the current term and vote
 * @param snapshot the latest snapshot, if any
 * @param entries the entries after the snapshot
 */
public record RecoveredLog(HardState hardState, Optional<Snapshot> snapshot, List<LogEntry> entries) {

	public RecoveredLog {
		Objects.requireNonNull(hardState, "hardState");
		Objects.requireNonNull(snapshot, "snapshot");
		entries = List.copyOf(entries);
		long expected = snapshot.map(Snapshot::index).orElse(0L) + 1;
		for (LogEntry entry : entries) {
			if (entry.index() != expected) {
				throw new IllegalArgumentException(
						"log entries are not consecutive: expected index " + expected + ", found " + entry.index());
			}
			expected++;
		}
	}

	/**
	 * Return the content of a new data folder. A replica that starts from it waits until
	 * a leader sends it the log.
	 * @return an empty log
	 */
	public static RecoveredLog empty() {
		return new RecoveredLog(new HardState(0, Optional.empty()), Optional.empty(), List.of());
	}

	/**
	 * Return the initial log of the first replica of a new system, in which that replica
	 * is the only voter. The caller makes it durable first, and does so only once in the
	 * lifetime of the system: two such logs are two separate systems.
	 * @param first the replica
	 * @return a log with a single membership entry
	 */
	public static RecoveredLog bootstrap(Member first) {
		byte[] payload = MembershipCodec.encode(new Membership(List.of(first)));
		LogEntry entry = new LogEntry(1, 1, LogEntry.Kind.MEMBERSHIP, payload);
		return new RecoveredLog(new HardState(1, Optional.of(first.id())), Optional.empty(), List.of(entry));
	}

}
