package org.acaciacourse.daemon.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.consensus.HardState;
import org.acaciacourse.core.consensus.LogEntry;
import org.acaciacourse.core.consensus.ReplicaId;
import org.acaciacourse.core.consensus.Snapshot;
import org.acaciacourse.daemon.codec.ReplicaCodec;
import org.acaciacourse.daemon.store.RecordFormat.Scan;
import org.acaciacourse.protocol.generated.BatchRecord;
import org.acaciacourse.protocol.generated.LogRecord;
import org.acaciacourse.protocol.generated.SegmentHeader;
import org.acaciacourse.protocol.generated.StoreRecord;

/**
 * The durable state of one replica in one data folder. It consists of a segmented
 * write-ahead log with one record per sync (redo records as in Mohan et al., ARIES, 1992)
 * and of snapshots that are written to a temporary file, synced and renamed.
 * <p>
 * Invariants: data for which {@link #sync} has returned, and all that was recovered,
 * survives a crash at any point; only the newest segment may hold records that were not
 * synced, if the process was killed; a segment is deleted, oldest first, only after a
 * durable snapshot covers all its entries; the first disk failure is final, and every
 * later call fails with the same code.
 * <p>
 * Not thread safe: used by the replica's thread only.
 */
public final class ReplicaStore implements Closeable {

	/** Size at which a segment is closed, in bytes. */
	static final long SEGMENT_BYTES = 8 << 20;

	private static final String IDENTITY_FILE = "identity";

	private static final String SEGMENT_PREFIX = "log-";

	private static final String SNAPSHOT_PREFIX = "snapshot-";

	private static final String TEMPORARY_FILE = "temporary";

	private final Disk disk;

	private final long segmentBytes;

	/** Last index of each closed segment by its sequence number. */
	private final SortedMap<Long, Long> closedSegments = new TreeMap<>();

	private final List<LogRecord> pendingEntries = new ArrayList<>();

	private ReplicaId identity;

	private RecoveredState recovered;

	private HardState hardState;

	private boolean hardStatePending;

	private Disk.AppendFile segment;

	private long sequence;

	private long segmentSize;

	private long lastIndex;

	private long lastTerm;

	private StoreException failure;

	private ReplicaStore(Disk disk, long segmentBytes) {
		this.disk = disk;
		this.segmentBytes = segmentBytes;
	}

	/**
	 * Open a data folder, creating it if it does not exist.
	 * @param folder the folder
	 * @return the store
	 */
	public static ReplicaStore open(Path folder) {
		return open(FolderDisk.open(folder), SEGMENT_BYTES);
	}

	/**
	 * Open a store.
	 * @param disk the disk
	 * @param segmentBytes the size at which a segment is closed, in bytes
	 * @return the store
	 */
	static ReplicaStore open(Disk disk, long segmentBytes) {
		ReplicaStore store = new ReplicaStore(disk, segmentBytes);
		try {
			store.runFailStop(store::load);
			return store;
		}
		catch (StoreException ex) {
			store.close();
			throw ex;
		}
	}

	private void load() throws IOException {
		List<String> names = this.disk.list();
		this.identity = names.contains(IDENTITY_FILE) ? readIdentity() : createIdentity(names);
		Optional<Snapshot> snapshot = readSnapshot(names);
		LogReplay replay = new LogReplay(this.identity.value());
		List<String> segments = names.stream().filter((name) -> name.startsWith(SEGMENT_PREFIX)).sorted().toList();
		Optional<String> newest = Optional.empty();
		for (int i = 0; i < segments.size(); i++) {
			if (replaySegment(segments.get(i), i == segments.size() - 1, replay)) {
				newest = Optional.of(segments.get(i));
			}
		}
		if (newest.isPresent()) {
			this.disk.sync(newest.get());
		}
		this.recovered = replay.finish(snapshot);
		this.hardState = this.recovered.hardState();
		this.sequence = replay.lastSequence();
		long snapshotIndex = snapshot.map(Snapshot::index).orElse(0L);
		List<LogEntry> entries = this.recovered.entries();
		this.lastIndex = snapshotIndex + entries.size();
		this.lastTerm = entries.isEmpty() ? snapshot.map(Snapshot::term).orElse(0L)
				: entries.get(entries.size() - 1).term();
		segments.stream()
			.map(ReplicaStore::sequenceOf)
			.filter((number) -> number <= this.sequence)
			.forEach((number) -> this.closedSegments.put(number, this.lastIndex));
		startSegment();
	}

	// Returns whether the segment holds any record.
	private boolean replaySegment(String name, boolean newest, LogReplay replay) throws IOException {
		Scan scan = RecordFormat.scan(this.disk.read(name));
		if (scan.validRecordFollows() || (scan.hasInvalidRecord() && !newest)) {
			throw new StoreException(ResultCode.LOG_DAMAGED, name + ": invalid record at offset " + scan.validEnd(),
					null);
		}
		scan.records().forEach((record) -> replay.apply(name, record));
		if (scan.hasInvalidRecord()) {
			this.disk.truncate(name, scan.validEnd());
		}
		if (scan.records().isEmpty() && newest) {
			this.disk.delete(name);
			this.disk.syncFolder();
		}
		return !scan.records().isEmpty();
	}

	private ReplicaId readIdentity() throws IOException {
		Scan scan = RecordFormat.scan(this.disk.read(IDENTITY_FILE));
		if (scan.hasInvalidRecord() || scan.records().size() != 1 || !scan.records().get(0).isSetIdentity()) {
			throw new StoreException(ResultCode.LOG_DAMAGED, IDENTITY_FILE + ": not a valid identity record", null);
		}
		return new ReplicaId(scan.records().get(0).getIdentity());
	}

	private ReplicaId createIdentity(List<String> names) throws IOException {
		if (names.stream().anyMatch((name) -> name.startsWith(SEGMENT_PREFIX) || name.startsWith(SNAPSHOT_PREFIX))) {
			throw new StoreException(ResultCode.LOG_DAMAGED,
					IDENTITY_FILE + ": missing, although the folder holds a log or snapshot", null);
		}
		long value = new SecureRandom().nextLong() & Long.MAX_VALUE;
		ReplicaId id = new ReplicaId(Math.max(value, 1));
		replaceAtomically(IDENTITY_FILE, StoreRecord.identity(id.value()));
		return id;
	}

	private Optional<Snapshot> readSnapshot(List<String> names) throws IOException {
		Optional<String> latest = names.stream()
			.filter((name) -> name.startsWith(SNAPSHOT_PREFIX))
			.max(Comparator.naturalOrder());
		if (latest.isEmpty()) {
			return Optional.empty();
		}
		Scan scan = RecordFormat.scan(this.disk.read(latest.get()));
		if (scan.hasInvalidRecord() || scan.records().size() != 1 || !scan.records().get(0).isSetSnapshot()) {
			throw new StoreException(ResultCode.LOG_DAMAGED, latest.get() + ": not a valid snapshot record", null);
		}
		return Optional.of(ReplicaCodec.decode(scan.records().get(0).getSnapshot()));
	}

	/**
	 * Return the replica's identity as stored in the folder.
	 * @return the identity
	 */
	public ReplicaId identity() {
		return this.identity;
	}

	/**
	 * Return what the folder held when it was opened.
	 * @return hard state, snapshot and entries
	 */
	public RecoveredState recovered() {
		return this.recovered;
	}

	/**
	 * Stage a hard state to be written by the next sync.
	 * @param state the state
	 */
	public void put(HardState state) {
		this.hardState = state;
		this.hardStatePending = true;
	}

	/**
	 * Stage entries to be written by the next sync. They replace all entries of the log
	 * from the first one's index on.
	 * @param entries the entries, without gaps
	 */
	public void put(List<LogEntry> entries) {
		for (LogEntry entry : entries) {
			this.pendingEntries.add(ReplicaCodec.encode(entry));
			this.lastIndex = entry.index();
			this.lastTerm = entry.term();
		}
	}

	/**
	 * Return whether staged data waits for a sync.
	 * @return whether {@link #sync} has work
	 */
	public boolean isDirty() {
		return this.hardStatePending || !this.pendingEntries.isEmpty();
	}

	/**
	 * Make all staged data durable.
	 */
	public void sync() {
		runFailStop(this::writeBatch);
	}

	private void writeBatch() throws IOException {
		if (!isDirty()) {
			return;
		}
		BatchRecord batch = new BatchRecord(List.copyOf(this.pendingEntries));
		if (this.hardStatePending) {
			batch.setHardState(ReplicaCodec.encode(this.hardState));
		}
		write(StoreRecord.batch(batch));
		this.pendingEntries.clear();
		this.hardStatePending = false;
		if (this.segmentSize >= this.segmentBytes) {
			startSegment();
		}
	}

	private void write(StoreRecord record) throws IOException {
		ByteBuffer bytes = RecordFormat.encode(record);
		this.segmentSize += bytes.remaining();
		this.segment.write(bytes);
		this.segment.sync();
	}

	/**
	 * Make a snapshot of this replica's state durable and delete the segments it covers.
	 * @param snapshot the snapshot
	 */
	public void save(Snapshot snapshot) {
		runFailStop(() -> {
			writeSnapshot(snapshot);
			deleteSegmentsUpTo(snapshot.index());
		});
	}

	/**
	 * Make a snapshot of another replica durable. It replaces the whole log, including
	 * staged entries that are not yet synced.
	 * @param snapshot the snapshot
	 */
	public void install(Snapshot snapshot) {
		runFailStop(() -> {
			writeSnapshot(snapshot);
			this.pendingEntries.clear();
			this.lastIndex = snapshot.index();
			this.lastTerm = snapshot.term();
			startSegment();
			deleteSegmentsUpTo(Long.MAX_VALUE);
		});
	}

	/**
	 * Make the first entry of a new log durable in a fresh folder.
	 * @param state the hard state to write with it
	 * @param first the entry
	 */
	public void bootstrap(HardState state, LogEntry first) {
		if (!this.recovered.isFresh()) {
			throw new IllegalStateException("the data folder already holds a log");
		}
		put(state);
		put(List.of(first));
		sync();
		this.recovered = new RecoveredState(state, Optional.empty(), List.of(first));
	}

	/**
	 * Release the state read at opening, once the replica has taken it over.
	 */
	public void releaseRecovered() {
		this.recovered = new RecoveredState(this.hardState, Optional.empty(), List.of());
	}

	private void writeSnapshot(Snapshot snapshot) throws IOException {
		String name = String.format(Locale.ROOT, SNAPSHOT_PREFIX + "%016x", snapshot.index());
		replaceAtomically(name, StoreRecord.snapshot(ReplicaCodec.encode(snapshot)));
		for (String other : this.disk.list()) {
			if (other.startsWith(SNAPSHOT_PREFIX) && other.compareTo(name) < 0) {
				this.disk.delete(other);
			}
		}
	}

	private void deleteSegmentsUpTo(long index) throws IOException {
		while (!this.closedSegments.isEmpty() && this.closedSegments.get(this.closedSegments.firstKey()) <= index) {
			this.disk.delete(segmentName(this.closedSegments.firstKey()));
			this.disk.syncFolder();
			this.closedSegments.remove(this.closedSegments.firstKey());
		}
	}

	private void startSegment() throws IOException {
		if (this.segment != null) {
			this.segment.close();
			this.closedSegments.put(this.sequence, this.lastIndex);
		}
		this.sequence++;
		this.segmentSize = 0;
		this.segment = this.disk.append(segmentName(this.sequence));
		write(StoreRecord.header(new SegmentHeader(this.identity.value(), this.sequence, this.lastIndex, this.lastTerm,
				ReplicaCodec.encode(this.hardState))));
		this.hardStatePending = false;
		this.disk.syncFolder();
	}

	private void replaceAtomically(String name, StoreRecord record) throws IOException {
		if (this.disk.list().contains(TEMPORARY_FILE)) {
			this.disk.delete(TEMPORARY_FILE);
		}
		try (Disk.AppendFile file = this.disk.append(TEMPORARY_FILE)) {
			file.write(RecordFormat.encode(record));
			file.sync();
		}
		this.disk.rename(TEMPORARY_FILE, name);
		this.disk.syncFolder();
	}

	private static String segmentName(long sequence) {
		return String.format(Locale.ROOT, SEGMENT_PREFIX + "%016x", sequence);
	}

	private static long sequenceOf(String name) {
		return Long.parseLong(name.substring(SEGMENT_PREFIX.length()), 16);
	}

	private void runFailStop(DiskAction action) {
		if (this.failure != null) {
			throw this.failure;
		}
		try {
			action.run();
		}
		catch (IOException ex) {
			this.failure = new StoreException(ResultCode.DISK_FAILED, String.valueOf(ex.getMessage()), ex);
			throw this.failure;
		}
		catch (StoreException ex) {
			this.failure = ex;
			throw ex;
		}
	}

	@Override
	public void close() {
		try {
			if (this.segment != null) {
				this.segment.close();
			}
			this.disk.close();
		}
		catch (IOException ex) {
			throw new StoreException(ResultCode.DISK_FAILED, "cannot close the data folder", ex);
		}
	}

	/** An action on the disk that may fail. */
	@FunctionalInterface
	private interface DiskAction {

		void run() throws IOException;

	}

}
