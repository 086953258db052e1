package org.acaciacourse.daemon.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.consensus.HardState;
import org.acaciacourse.core.consensus.LogEntry;
import org.acaciacourse.core.consensus.Snapshot;
import org.acaciacourse.daemon.codec.ReplicaCodec;
import org.acaciacourse.protocol.generated.BatchRecord;
import org.acaciacourse.protocol.generated.LogRecord;
import org.acaciacourse.protocol.generated.SegmentHeader;
import org.acaciacourse.protocol.generated.StoreRecord;

/**
 * Rebuilds hard state and log from the records of the segments, read in order. A record
 * that does not continue the preceding ones is reported as damage and never skipped: a
 * missing segment would otherwise go unnoticed, and the log would lack committed entries.
 * <p>
 * Not thread safe: created for one start and used once.
 */
final class LogReplay {

	private static final long UNKNOWN_TERM = -1;

	private final long replicaId;

	private final List<LogEntry> entries = new ArrayList<>();

	private HardState hardState = new HardState(0, Optional.empty());

	private long previousIndex;

	private long previousTerm;

	private long requiredSnapshotIndex;

	private long lastSequence = -1;

	LogReplay(long replicaId) {
		this.replicaId = replicaId;
	}

	/**
	 * Apply a record.
	 * @param file the name of the segment
	 * @param record the next record
	 */
	void apply(String file, StoreRecord record) {
		if (record.isSetHeader()) {
			applyHeader(file, record.getHeader());
		}
		else if (record.isSetBatch() && this.lastSequence >= 0) {
			applyBatch(file, record.getBatch());
		}
		else {
			throw damaged(file, "unexpected type of record");
		}
	}

	private void applyHeader(String file, SegmentHeader header) {
		boolean first = this.lastSequence < 0;
		if (header.getReplica() != this.replicaId) {
			throw damaged(file, "segment belongs to replica " + header.getReplica());
		}
		if (!first && header.getSequence() != this.lastSequence + 1) {
			throw damaged(file, "the preceding segment is missing");
		}
		this.lastSequence = header.getSequence();
		this.hardState = ReplicaCodec.decode(header.getHardState());
		boolean continues = !first && header.getPreviousIndex() == lastIndex()
				&& header.getPreviousTerm() == lastTerm();
		if (!continues) {
			this.entries.clear();
			this.previousIndex = header.getPreviousIndex();
			this.previousTerm = header.getPreviousTerm();
			this.requiredSnapshotIndex = header.getPreviousIndex();
		}
	}

	private void applyBatch(String file, BatchRecord batch) {
		if (batch.isSetHardState()) {
			this.hardState = ReplicaCodec.decode(batch.getHardState());
		}
		for (LogRecord struct : batch.getEntries()) {
			LogEntry entry = ReplicaCodec.decode(struct);
			if (entry.index() > lastIndex() + 1) {
				throw damaged(file, "entry " + entry.index() + " does not follow " + lastIndex());
			}
			if (entry.index() <= this.previousIndex) {
				restartBefore(entry);
			}
			this.entries.subList((int) (entry.index() - this.previousIndex - 1), this.entries.size()).clear();
			this.entries.add(entry);
		}
	}

	// An entry may replace entries of a segment that has since been deleted. A segment is
	// deleted only if a snapshot covers all of it; finish checks that there is one.
	private void restartBefore(LogEntry entry) {
		this.entries.clear();
		this.previousIndex = entry.index() - 1;
		this.previousTerm = UNKNOWN_TERM;
	}

	private long lastIndex() {
		return this.previousIndex + this.entries.size();
	}

	private long lastTerm() {
		return this.entries.isEmpty() ? this.previousTerm : this.entries.get(this.entries.size() - 1).term();
	}

	/**
	 * Combine log and snapshot. Entries after the snapshot are used only if the log holds
	 * the snapshot's last entry: a crash between the installation of a snapshot and the
	 * start of the next segment leaves an older log that need not agree with the
	 * snapshot.
	 * @param snapshot the latest snapshot, if there is one
	 * @return the recovered state
	 */
	RecoveredState finish(Optional<Snapshot> snapshot) {
		long index = snapshot.map(Snapshot::index).orElse(0L);
		long term = snapshot.map(Snapshot::term).orElse(0L);
		if (this.requiredSnapshotIndex > index) {
			throw damaged("snapshot", "missing, the log needs one up to entry " + this.requiredSnapshotIndex);
		}
		if (index > lastIndex() || termAt(index) != term) {
			return new RecoveredState(this.hardState, snapshot, List.of());
		}
		List<LogEntry> remaining = this.entries.subList((int) (index - this.previousIndex), this.entries.size());
		return new RecoveredState(this.hardState, snapshot, remaining);
	}

	private long termAt(long index) {
		int position = (int) (index - this.previousIndex);
		return (position == 0) ? this.previousTerm : this.entries.get(position - 1).term();
	}

	/**
	 * Return the sequence number of the last segment.
	 * @return the number, -1 if there is no segment
	 */
	long lastSequence() {
		return this.lastSequence;
	}

	private static StoreException damaged(String file, String detail) {
		return new StoreException(ResultCode.LOG_DAMAGED, file + ": " + detail, null);
	}

}
