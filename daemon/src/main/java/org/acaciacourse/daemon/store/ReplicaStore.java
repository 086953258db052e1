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
 * The durable state of one replica in one data folder. A write-ahead log in segments
 * (Mohan et al., ARIES, 1992, for the idea of redo records) with one record a sync, and
 * snapshots written aside, synced and renamed.
 * <p>
 * Invariants: what {@link #sync} returned for survives a crash at any point; a segment is
 * deleted, oldest first, only after a durable snapshot covers all its entries; the first
 * failure of the disk is final, every later call fails with the same code.
 * <p>
 * Not thread safe: the replica's thread calls it.
 */
public final class ReplicaStore implements Closeable {

	/** Size from which on a segment is closed. */
	static final long SEGMENT_BYTES = 8 << 20;

	private static final String IDENTITY = "identity";

	private static final String LOG = "log-";

	private static final String SNAPSHOT = "snapshot-";

	private static final String TEMPORARY = "temporary";

	private final Disk disk;

	private final long segmentBytes;

	/** Last index of each closed segment by its sequence number. */
	private final SortedMap<Long, Long> closed = new TreeMap<>();

	private final List<LogRecord> pending = new ArrayList<>();

	private ReplicaId identity;

	private Recovered recovered;

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
	 * Open a data folder, and make it if there is none.
	 * @param folder the folder
	 * @return the store
	 */
	public static ReplicaStore open(Path folder) {
		return open(FolderDisk.open(folder), SEGMENT_BYTES);
	}

	/**
	 * Open a store.
	 * @param disk the disk
	 * @param segmentBytes the size from which on a segment is closed
	 * @return the store
	 */
	static ReplicaStore open(Disk disk, long segmentBytes) {
		ReplicaStore store = new ReplicaStore(disk, segmentBytes);
		try {
			store.guarded(store::load);
			return store;
		}
		catch (StoreException ex) {
			store.close();
			throw ex;
		}
	}

	private void load() throws IOException {
		List<String> names = this.disk.list();
		this.identity = names.contains(IDENTITY) ? readIdentity() : makeIdentity(names);
		Optional<Snapshot> snapshot = readSnapshot(names);
		LogReplay replay = new LogReplay(this.identity.value());
		List<String> segments = names.stream().filter((name) -> name.startsWith(LOG)).sorted().toList();
		for (int i = 0; i < segments.size(); i++) {
			replaySegment(segments.get(i), i == segments.size() - 1, replay);
		}
		this.recovered = replay.finish(snapshot);
		this.hardState = this.recovered.hardState();
		this.sequence = replay.sequence();
		long snapshotIndex = snapshot.map(Snapshot::index).orElse(0L);
		List<LogEntry> entries = this.recovered.entries();
		this.lastIndex = snapshotIndex + entries.size();
		this.lastTerm = entries.isEmpty() ? snapshot.map(Snapshot::term).orElse(0L)
				: entries.get(entries.size() - 1).term();
		segments.stream()
			.map(ReplicaStore::sequenceOf)
			.filter((number) -> number <= this.sequence)
			.forEach((number) -> this.closed.put(number, this.lastIndex));
		startSegment();
	}

	private void replaySegment(String name, boolean newest, LogReplay replay) throws IOException {
		Scan scan = RecordFormat.scan(this.disk.read(name));
		if (scan.damaged() || (scan.bad() && !newest)) {
			throw new StoreException(ResultCode.LOG_DAMAGED, name + ": bad record at " + scan.end(), null);
		}
		scan.records().forEach((record) -> replay.take(name, record));
		if (scan.bad()) {
			this.disk.truncate(name, scan.end());
		}
		if (scan.records().isEmpty() && newest) {
			this.disk.delete(name);
			this.disk.syncFolder();
		}
	}

	private ReplicaId readIdentity() throws IOException {
		Scan scan = RecordFormat.scan(this.disk.read(IDENTITY));
		if (scan.bad() || scan.records().size() != 1 || !scan.records().get(0).isSetIdentity()) {
			throw new StoreException(ResultCode.LOG_DAMAGED, IDENTITY + " cannot be read", null);
		}
		return new ReplicaId(scan.records().get(0).getIdentity());
	}

	private ReplicaId makeIdentity(List<String> names) throws IOException {
		if (names.stream().anyMatch((name) -> name.startsWith(LOG) || name.startsWith(SNAPSHOT))) {
			throw new StoreException(ResultCode.LOG_DAMAGED, IDENTITY + " is missing", null);
		}
		long value = new SecureRandom().nextLong() & Long.MAX_VALUE;
		ReplicaId id = new ReplicaId(Math.max(value, 1));
		replace(IDENTITY, StoreRecord.identity(id.value()));
		return id;
	}

	private Optional<Snapshot> readSnapshot(List<String> names) throws IOException {
		Optional<String> latest = names.stream()
			.filter((name) -> name.startsWith(SNAPSHOT))
			.max(Comparator.naturalOrder());
		if (latest.isEmpty()) {
			return Optional.empty();
		}
		Scan scan = RecordFormat.scan(this.disk.read(latest.get()));
		if (scan.bad() || scan.records().size() != 1 || !scan.records().get(0).isSetSnapshot()) {
			throw new StoreException(ResultCode.LOG_DAMAGED, latest.get() + " cannot be read", null);
		}
		return Optional.of(ReplicaCodec.decode(scan.records().get(0).getSnapshot()));
	}

	/**
	 * Return the identity that lies in the folder.
	 * @return the identity
	 */
	public ReplicaId identity() {
		return this.identity;
	}

	/**
	 * Return what the folder held when it was opened.
	 * @return hard state, snapshot and entries
	 */
	public Recovered recovered() {
		return this.recovered;
	}

	/**
	 * Take a hard state for the next sync.
	 * @param state the state
	 */
	public void put(HardState state) {
		this.hardState = state;
		this.hardStatePending = true;
	}

	/**
	 * Take entries for the next sync; what the log holds from the first one's index on is
	 * void.
	 * @param entries the entries, without gaps
	 */
	public void put(List<LogEntry> entries) {
		for (LogEntry entry : entries) {
			this.pending.add(ReplicaCodec.encode(entry));
			this.lastIndex = entry.index();
			this.lastTerm = entry.term();
		}
	}

	/**
	 * Return whether something waits for a sync.
	 * @return whether {@link #sync} has work
	 */
	public boolean isDirty() {
		return this.hardStatePending || !this.pending.isEmpty();
	}

	/**
	 * Make all that was put durable.
	 */
	public void sync() {
		guarded(this::writeBatch);
	}

	private void writeBatch() throws IOException {
		if (!isDirty()) {
			return;
		}
		BatchRecord batch = new BatchRecord(List.copyOf(this.pending));
		if (this.hardStatePending) {
			batch.setHardState(ReplicaCodec.encode(this.hardState));
		}
		write(StoreRecord.batch(batch));
		this.pending.clear();
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
	 * Make a snapshot of the own state durable and delete what it covers.
	 * @param snapshot the snapshot
	 */
	public void save(Snapshot snapshot) {
		guarded(() -> {
			writeSnapshot(snapshot);
			deleteSegmentsUpTo(snapshot.index());
		});
	}

	/**
	 * Make a snapshot of another replica durable in place of the whole log, also of what
	 * was put and not synced.
	 * @param snapshot the snapshot
	 */
	public void install(Snapshot snapshot) {
		guarded(() -> {
			writeSnapshot(snapshot);
			this.pending.clear();
			this.lastIndex = snapshot.index();
			this.lastTerm = snapshot.term();
			startSegment();
			deleteSegmentsUpTo(Long.MAX_VALUE);
		});
	}

	/**
	 * Make the first entry of a new log durable in a fresh folder.
	 * @param state the hard state with it
	 * @param first the entry
	 */
	public void found(HardState state, LogEntry first) {
		if (!this.recovered.isFresh()) {
			throw new IllegalStateException("the folder holds a log already");
		}
		put(state);
		put(List.of(first));
		sync();
		this.recovered = new Recovered(state, Optional.empty(), List.of(first));
	}

	/**
	 * Let go of what the folder held when it was opened, once the replica has it.
	 */
	public void forgetRecovered() {
		this.recovered = new Recovered(this.hardState, Optional.empty(), List.of());
	}

	private void writeSnapshot(Snapshot snapshot) throws IOException {
		String name = String.format(Locale.ROOT, SNAPSHOT + "%016x", snapshot.index());
		replace(name, StoreRecord.snapshot(ReplicaCodec.encode(snapshot)));
		for (String other : this.disk.list()) {
			if (other.startsWith(SNAPSHOT) && other.compareTo(name) < 0) {
				this.disk.delete(other);
			}
		}
	}

	private void deleteSegmentsUpTo(long index) throws IOException {
		while (!this.closed.isEmpty() && this.closed.get(this.closed.firstKey()) <= index) {
			this.disk.delete(segmentName(this.closed.firstKey()));
			this.disk.syncFolder();
			this.closed.remove(this.closed.firstKey());
		}
	}

	private void startSegment() throws IOException {
		if (this.segment != null) {
			this.segment.close();
			this.closed.put(this.sequence, this.lastIndex);
		}
		this.sequence++;
		this.segmentSize = 0;
		this.segment = this.disk.append(segmentName(this.sequence));
		write(StoreRecord.header(new SegmentHeader(this.identity.value(), this.sequence, this.lastIndex, this.lastTerm,
				ReplicaCodec.encode(this.hardState))));
		this.hardStatePending = false;
		this.disk.syncFolder();
	}

	private void replace(String name, StoreRecord record) throws IOException {
		if (this.disk.list().contains(TEMPORARY)) {
			this.disk.delete(TEMPORARY);
		}
		try (Disk.AppendFile file = this.disk.append(TEMPORARY)) {
			file.write(RecordFormat.encode(record));
			file.sync();
		}
		this.disk.rename(TEMPORARY, name);
		this.disk.syncFolder();
	}

	private static String segmentName(long sequence) {
		return String.format(Locale.ROOT, LOG + "%016x", sequence);
	}

	private static long sequenceOf(String name) {
		return Long.parseLong(name.substring(LOG.length()), 16);
	}

	private void guarded(CheckedRunnable action) {
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
			throw new StoreException(ResultCode.DISK_FAILED, "cannot close", ex);
		}
	}

	/** An action on the disk. */
	@FunctionalInterface
	private interface CheckedRunnable {

		void run() throws IOException;

	}

}
