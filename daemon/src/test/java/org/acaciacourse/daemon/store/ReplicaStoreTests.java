package org.acaciacourse.daemon.store;

import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;

import io.vavr.control.Try;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.consensus.HardState;
import org.acaciacourse.core.consensus.LogEntry;
import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.consensus.Membership;
import org.acaciacourse.core.consensus.ReplicaId;
import org.acaciacourse.core.consensus.Snapshot;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

class ReplicaStoreTests {

	private static final Membership MEMBERS = new Membership(
			List.of(new Member(new ReplicaId(7), "control-1", "127.0.0.1:1", true)));

	private static LogEntry entry(long index, long term) {
		return new LogEntry(index, term, LogEntry.Kind.COMMAND, ("change " + index).getBytes());
	}

	private static Snapshot snapshot(long index, long term) {
		return new Snapshot(index, term, MEMBERS, new byte[] { 1, 2, 3 });
	}

	private static void append(ReplicaStore store, long from, long to, long term) {
		for (long i = from; i <= to; i++) {
			store.put(List.of(entry(i, term)));
			store.sync();
		}
	}

	private static Optional<ResultCode> failure(Runnable action) {
		try {
			action.run();
			return Optional.empty();
		}
		catch (StoreException ex) {
			return Optional.of(ex.code());
		}
	}

	private static List<Long> indexes(ReplicaStore store) {
		return store.recovered().entries().stream().map(LogEntry::index).toList();
	}

	private static List<Long> terms(ReplicaStore store) {
		return store.recovered().entries().stream().map(LogEntry::term).toList();
	}

	private static String newest(Disk disk, String prefix) throws Exception {
		return disk.list()
			.stream()
			.filter((name) -> name.startsWith(prefix))
			.sorted()
			.reduce((a, b) -> b)
			.orElseThrow();
	}

	@Nested
	class OnARealFolder {

		@TempDir
		private Path folder;

		@Test
		void lastOfFiveHundredChangesSurvivesATornWrite() throws Exception {
			// The VM loses power during the write after change 500 was accepted, so the
			// newest segment ends in a partial record. Change 500 must be recovered,
			// because it was synced before it was acknowledged.
			ReplicaId identity;
			try (ReplicaStore store = ReplicaStore.open(this.folder)) {
				identity = store.identity();
				store.put(new HardState(3, Optional.of(identity)));
				append(store, 1, 500, 3);
			}
			Path newest = this.folder.resolve("log-0000000000000000");
			try (RandomAccessFile file = new RandomAccessFile(newest.toFile(), "rw")) {
				byte[] half = Arrays.copyOf(Files.readAllBytes(newest), 20);
				file.seek(file.length());
				file.write(half);
			}
			try (ReplicaStore store = ReplicaStore.open(this.folder)) {
				assertThat(store.identity()).isEqualTo(identity);
				assertThat(store.recovered().hardState().term()).isEqualTo(3);
				assertThat(store.recovered().entries()).hasSize(500);
				assertThat(new String(store.recovered().entries().get(499).payload())).isEqualTo("change 500");
			}
		}

		@Test
		void secondOpenIsRefused() {
			try (ReplicaStore store = ReplicaStore.open(this.folder)) {
				assertThat(store.recovered().isFresh()).isTrue();
				assertThat(failure(() -> ReplicaStore.open(this.folder))).hasValue(ResultCode.DATA_FOLDER_LOCKED);
			}
		}

		@Test
		void identityStaysWithTheFolder() {
			ReplicaId first;
			try (ReplicaStore store = ReplicaStore.open(this.folder)) {
				first = store.identity();
			}
			try (ReplicaStore store = ReplicaStore.open(this.folder)) {
				assertThat(store.identity()).isEqualTo(first);
			}
			try (ReplicaStore store = ReplicaStore.open(this.folder.resolve("other"))) {
				assertThat(store.identity()).isNotEqualTo(first);
			}
		}

	}

	@Nested
	class Crashes {

		@Test
		void atEveryOperationKeepWhatWasSynced() throws Exception {
			// The VM loses power at each of the disk operations in turn. All entries for
			// which sync returned must be recovered, since they were acknowledged, and no
			// entries but those that were put.
			for (int crash = 1;; crash++) {
				MemoryDisk disk = new MemoryDisk();
				ReplicaStore store = ReplicaStore.open(disk, 300);
				int before = disk.operations();
				disk.failAfter(crash);
				long synced = 0;
				boolean failed = false;
				try {
					for (long i = 1; i <= 30; i++) {
						store.put(List.of(entry(i, 1)));
						store.sync();
						synced = i;
						if (i % 10 == 0) {
							store.save(snapshot(i - 3, 1));
						}
					}
				}
				catch (StoreException ex) {
					failed = true;
					assertThat(ex.code()).isEqualTo(ResultCode.DISK_FAILED);
				}
				ReplicaStore after = ReplicaStore.open(disk.crash(), 300);
				long base = after.recovered().snapshot().map(Snapshot::index).orElse(0L);
				long last = base + after.recovered().entries().size();
				assertThat(last).isAtLeast(synced);
				assertThat(last).isAtMost(synced + 1);
				assertThat(indexes(after)).isEqualTo(LongStream.rangeClosed(base + 1, last).boxed().toList());
				if (!failed) {
					assertThat(disk.operations() - before).isGreaterThan(90);
					return;
				}
			}
		}

		@Test
		void atEveryOperationOfAnInstallKeepOldLogOrSnapshot() throws Exception {
			// A follower that lags far behind receives a snapshot, and power fails at any
			// point of its installation. It must recover either the old log or the
			// snapshot, never the snapshot followed by entries of the old log.
			for (int crash = 1; crash < 40; crash++) {
				MemoryDisk disk = new MemoryDisk();
				ReplicaStore store = ReplicaStore.open(disk, 300);
				append(store, 1, 30, 1);
				disk.failAfter(crash);
				try {
					store.install(snapshot(20, 2));
				}
				catch (StoreException ex) {
					assertThat(ex.code()).isEqualTo(ResultCode.DISK_FAILED);
				}
				ReplicaStore after = ReplicaStore.open(disk.crash(), 300);
				boolean installed = after.recovered().snapshot().isPresent();
				assertThat(indexes(after)).hasSize((installed) ? 0 : 30);
			}
		}

		@Test
		void tornTailIsTruncatedAtAnyLength() throws Exception {
			// Power fails while a record is being written, so any prefix of it may be in
			// the newest segment. Records synced before are kept, the partial one is
			// truncated.
			MemoryDisk disk = new MemoryDisk();
			ReplicaStore store = ReplicaStore.open(disk, 1 << 20);
			append(store, 1, 5, 1);
			String name = newest(disk, "log-");
			int before = disk.read(name).length;
			append(store, 6, 6, 1);
			byte[] whole = disk.read(name);
			for (int size = before; size < whole.length; size++) {
				MemoryDisk torn = disk.crash();
				torn.overwrite(name, Arrays.copyOf(whole, size));
				assertThat(indexes(ReplicaStore.open(torn, 1 << 20))).containsExactly(1L, 2L, 3L, 4L, 5L).inOrder();
			}
		}

	}

	@Nested
	class Kills {

		private static final int NEVER = Integer.MAX_VALUE / 2;

		// Writes a record that the process does not live to sync.
		private static void killBeforeSync(MemoryDisk disk, ReplicaStore store, long index) {
			store.put(List.of(entry(index, 1)));
			disk.failAfter(1);
			assertThat(failure(store::sync)).hasValue(ResultCode.DISK_FAILED);
			disk.failAfter(NEVER);
		}

		// Guards against a record that counts after a kill and that a later loss of power
		// takes, as it was written and never synced.
		@Test
		void recordThatWasRecoveredSurvivesALossOfPower() {
			MemoryDisk disk = new MemoryDisk();
			ReplicaStore store = disk.openStore();
			append(store, 1, 3, 1);
			killBeforeSync(disk, store, 4);
			assertThat(indexes(disk.openStore())).containsExactly(1L, 2L, 3L, 4L).inOrder();
			assertThat(indexes(disk.crash().openStore())).containsExactly(1L, 2L, 3L, 4L).inOrder();
		}

		// Guards against the same where kills follow each other, the last one before the
		// new segment has a record.
		@Test
		void recordsSurviveKillsInSeriesAndALossOfPower() {
			MemoryDisk disk = new MemoryDisk();
			append(disk.openStore(), 1, 3, 1);
			for (long index = 4; index <= 6; index++) {
				killBeforeSync(disk, disk.openStore(), index);
			}
			for (int operations = 0; operations < 6; operations++) {
				disk.failAfter(operations);
				failure(disk::openStore);
				disk.failAfter(NEVER);
			}
			assertThat(indexes(disk.openStore())).hasSize(6);
			assertThat(indexes(disk.crash().openStore())).containsExactly(1L, 2L, 3L, 4L, 5L, 6L).inOrder();
		}

		// Guards against a vote that is forgotten after it was cast.
		@Test
		void hardStateThatWasRecoveredSurvivesALossOfPower() {
			MemoryDisk disk = new MemoryDisk();
			ReplicaStore store = disk.openStore();
			append(store, 1, 3, 1);
			store.put(new HardState(9, Optional.of(store.identity())));
			killBeforeSync(disk, store, 4);
			assertThat(disk.openStore().recovered().hardState().term()).isEqualTo(9);
			assertThat(disk.crash().openStore().recovered().hardState().term()).isEqualTo(9);
		}

	}

	@Nested
	class Damage {

		private final MemoryDisk disk = new MemoryDisk();

		@Test
		void inTheMiddleStopsTheReplica() throws Exception {
			// A bit flips in a record that was synced earlier. Truncating the log there
			// would silently lose committed entries, so the replica refuses to start.
			append(ReplicaStore.open(this.disk, 1 << 20), 1, 50, 1);
			String name = newest(this.disk, "log-");
			byte[] bytes = this.disk.read(name);
			bytes[bytes.length / 2] ^= 4;
			this.disk.overwrite(name, bytes);
			assertDamaged();
		}

		@Test
		void atTheEndOfAnOlderSegmentStopsTheReplica() throws Exception {
			append(ReplicaStore.open(this.disk, 300), 1, 50, 1);
			String name = this.disk.list()
				.stream()
				.filter((n) -> n.startsWith("log-"))
				.sorted()
				.findFirst()
				.orElseThrow();
			byte[] bytes = this.disk.read(name);
			this.disk.overwrite(name, Arrays.copyOf(bytes, bytes.length - 1));
			assertDamaged();
		}

		@Test
		void missingFilesStopTheReplica() throws Exception {
			ReplicaStore store = ReplicaStore.open(this.disk, 300);
			append(store, 1, 50, 1);
			store.save(snapshot(30, 1));
			for (String name : this.disk.list()) {
				MemoryDisk without = this.disk.crash();
				without.remove(name);
				if (!name.equals(newest(this.disk, "log-"))) {
					assertThat(failure(() -> ReplicaStore.open(without, 300))).hasValue(ResultCode.LOG_DAMAGED);
				}
			}
		}

		private void assertDamaged() {
			assertThat(failure(() -> ReplicaStore.open(this.disk.crash(), 300))).hasValue(ResultCode.LOG_DAMAGED);
		}

	}

	@Nested
	class FailedDisk {

		@Test
		void isNotUsedAfterAFailure() {
			// After a failed sync the kernel drops the dirty pages and reports the next
			// sync as successful. A store that retried would acknowledge entries that are
			// not on disk.
			MemoryDisk disk = new MemoryDisk();
			ReplicaStore store = ReplicaStore.open(disk, 1 << 20);
			disk.failAfter(1);
			store.put(List.of(entry(1, 1)));
			assertThat(failure(store::sync)).hasValue(ResultCode.DISK_FAILED);
			disk.failAfter(1000);
			assertThat(failure(store::sync)).hasValue(ResultCode.DISK_FAILED);
		}

	}

	@Nested
	class Replay {

		private MemoryDisk disk = new MemoryDisk();

		private ReplicaStore reopen() {
			this.disk = this.disk.crash();
			return ReplicaStore.open(this.disk, 200);
		}

		@Test
		void entriesOfALaterTermReplaceEarlierOnes() {
			ReplicaStore store = ReplicaStore.open(this.disk, 200);
			append(store, 1, 20, 1);
			append(store, 11, 12, 2);
			assertThat(terms(reopen())).containsExactly(1L, 1L, 1L, 1L, 1L, 1L, 1L, 1L, 1L, 1L, 2L, 2L);
			store = reopen();
			append(store, 13, 30, 2);
			store.save(snapshot(25, 2));
			assertThat(indexes(reopen())).containsExactly(26L, 27L, 28L, 29L, 30L).inOrder();
		}

		@Test
		void hardStateSurvivesTheDeletionOfItsSegment() {
			ReplicaStore store = ReplicaStore.open(this.disk, 200);
			HardState vote = new HardState(9, Optional.of(new ReplicaId(5)));
			store.put(vote);
			append(store, 1, 40, 9);
			store.save(snapshot(40, 9));
			assertThat(reopen().recovered().hardState()).isEqualTo(vote);
			assertThat(this.disk.list().size()).isLessThan(6);
		}

		@Test
		void firstEntryIsDurableAndWrittenOnce() {
			ReplicaStore store = ReplicaStore.open(this.disk, 200);
			HardState state = new HardState(1, Optional.of(store.identity()));
			store.bootstrap(state, entry(1, 1));
			ReplicaStore again = reopen();
			assertThat(again.recovered().isFresh()).isFalse();
			assertThat(again.recovered().hardState()).isEqualTo(state);
			assertThat(Try.run(() -> again.bootstrap(state, entry(1, 1))).isFailure()).isTrue();
			append(again, 2, 3, 1);
			assertThat(indexes(reopen())).containsExactly(1L, 2L, 3L).inOrder();
		}

	}

}
