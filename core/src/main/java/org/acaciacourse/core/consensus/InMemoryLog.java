package org.acaciacourse.core.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A replica's log in memory: the latest snapshot, the entries after it, and the
 * memberships that they contain. Invariants: indexes have no gaps; the current membership
 * is the last one in the log, committed or not, and is reverted when its entry is
 * truncated; the durable index never exceeds the last index.
 * <p>
 * Not thread safe: belongs to one {@link Replica}.
 */
final class InMemoryLog {

	private final List<LogEntry> entries = new ArrayList<>();

	private final NavigableMap<Long, Membership> memberships = new TreeMap<>();

	private Optional<Snapshot> snapshot;

	private Membership membership = new Membership(List.of());

	private long durableIndex;

	InMemoryLog(RecoveredLog recovered) {
		this.snapshot = recovered.snapshot();
		this.snapshot.ifPresent(this::setSnapshot);
		append(recovered.entries());
		this.durableIndex = lastIndex();
	}

	long snapshotIndex() {
		return this.snapshot.map(Snapshot::index).orElse(0L);
	}

	long lastIndex() {
		return snapshotIndex() + this.entries.size();
	}

	long lastTerm() {
		return term(lastIndex());
	}

	long durableIndex() {
		return this.durableIndex;
	}

	Optional<Snapshot> snapshot() {
		return this.snapshot;
	}

	/**
	 * Return the term of an entry.
	 * @param index its index, not before that of the snapshot
	 * @return the term, 0 for index 0 if there is no snapshot, -1 if the log does not
	 * contain the entry
	 */
	long term(long index) {
		long snapshotIndex = snapshotIndex();
		if (index < snapshotIndex || index > lastIndex()) {
			return -1;
		}
		if (index == snapshotIndex) {
			return this.snapshot.map(Snapshot::term).orElse(0L);
		}
		return get(index).term();
	}

	LogEntry get(long index) {
		return this.entries.get((int) (index - snapshotIndex() - 1));
	}

	/**
	 * Return entries to send in one message.
	 * @param from the index of the first one
	 * @param maxBytes the maximum payload in bytes; the first entry may exceed it
	 * @return the entries, empty if there is none from that index on
	 */
	List<LogEntry> slice(long from, int maxBytes) {
		List<LogEntry> slice = new ArrayList<>();
		long bytes = 0;
		for (long index = from; index <= lastIndex(); index++) {
			LogEntry entry = get(index);
			bytes += entry.payload().length;
			if (!slice.isEmpty() && bytes > maxBytes) {
				break;
			}
			slice.add(entry);
		}
		return slice;
	}

	/**
	 * Find the last index at which this log may match a leader's log that conflicts with
	 * it at an index, so that the leader skips all conflicting entries of a term at once.
	 * @param index the index of the conflict, or an index after the end of this log
	 * @param commitIndex the commit index, up to which the logs match
	 * @return the last index that may match
	 */
	long lastPossibleMatch(long index, long commitIndex) {
		if (index > lastIndex()) {
			return lastIndex();
		}
		long conflictTerm = term(index);
		long match = index;
		while (match > commitIndex && term(match) == conflictTerm) {
			match--;
		}
		return match;
	}

	void append(List<LogEntry> newEntries) {
		for (LogEntry entry : newEntries) {
			if (entry.index() != lastIndex() + 1) {
				throw new IllegalStateException(
						"entry " + entry.index() + " does not follow the last entry " + lastIndex());
			}
			this.entries.add(entry);
			if (entry.kind() == LogEntry.Kind.MEMBERSHIP) {
				this.memberships.put(entry.index(), MembershipCodec.decode(entry.payload()));
				this.membership = membershipAt(entry.index());
			}
		}
	}

	void truncateFrom(long index) {
		this.entries.subList((int) (index - snapshotIndex() - 1), this.entries.size()).clear();
		this.memberships.tailMap(index, true).clear();
		this.membership = membershipAt(index);
		this.durableIndex = Math.min(this.durableIndex, lastIndex());
	}

	/**
	 * Record that entries are durable. A late notification for entries that were
	 * truncated since refers to another term, or to no entry, and is ignored.
	 * @param index the index of the last durable entry
	 * @param term its term
	 */
	void markDurable(long index, long term) {
		if (index > this.durableIndex && term(index) == term) {
			this.durableIndex = index;
		}
	}

	void compact(Snapshot next) {
		if (next.index() <= snapshotIndex()) {
			return;
		}
		this.entries.subList(0, (int) (next.index() - snapshotIndex())).clear();
		setSnapshot(next);
		this.durableIndex = Math.max(this.durableIndex, next.index());
	}

	void install(Snapshot next) {
		this.entries.clear();
		this.memberships.clear();
		setSnapshot(next);
		this.durableIndex = next.index();
	}

	Membership membership() {
		return this.membership;
	}

	long membershipIndex() {
		return (this.memberships.isEmpty()) ? 0 : this.memberships.lastKey();
	}

	/**
	 * Return the membership as of an entry.
	 * @param index the index of the entry
	 * @return the last membership up to that entry
	 */
	Membership membershipAt(long index) {
		Map.Entry<Long, Membership> last = this.memberships.floorEntry(index);
		return (last != null) ? last.getValue() : new Membership(List.of());
	}

	private void setSnapshot(Snapshot next) {
		this.snapshot = Optional.of(next);
		this.memberships.headMap(next.index(), true).clear();
		this.memberships.put(next.index(), next.membership());
		this.membership = membershipAt(Long.MAX_VALUE);
	}

}
