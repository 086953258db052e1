package org.acaciacourse.core.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * A disk in memory. Writes are durable only once they are synced; a crash keeps a random
 * prefix of the writes since the last sync. Mutants override methods.
 */
class SimulatedDisk {

	private final Deque<Runnable> unsynced = new ArrayDeque<>();

	private HardState hardState = new HardState(0, Optional.empty());

	private Optional<Snapshot> snapshot = Optional.empty();

	private final List<LogEntry> entries = new ArrayList<>();

	private long lastWrittenIndex;

	private long lastWrittenTerm;

	void format(RecoveredLog content) {
		this.hardState = content.hardState();
		this.entries.addAll(content.entries());
	}

	void persist(HardState state) {
		this.unsynced.add(() -> this.hardState = state);
	}

	void append(List<LogEntry> added) {
		for (LogEntry entry : added) {
			this.unsynced.add(() -> write(entry));
		}
		recordWrite(added.get(added.size() - 1).index(), added.get(added.size() - 1).term());
	}

	void install(Snapshot next) {
		this.unsynced.add(() -> {
			this.entries.clear();
			this.snapshot = Optional.of(next);
		});
		recordWrite(next.index(), next.term());
	}

	void compact(Snapshot next) {
		sync();
		this.entries.removeIf((entry) -> entry.index() <= next.index());
		this.snapshot = Optional.of(next);
	}

	boolean isDirty() {
		return !this.unsynced.isEmpty();
	}

	void sync() {
		this.unsynced.forEach(Runnable::run);
		this.unsynced.clear();
	}

	void crash(Random random) {
		int kept = random.nextInt(this.unsynced.size() + 1);
		for (int i = 0; i < kept; i++) {
			this.unsynced.removeFirst().run();
		}
		this.unsynced.clear();
	}

	RecoveredLog recover() {
		return new RecoveredLog(this.hardState, this.snapshot, this.entries);
	}

	long lastWrittenIndex() {
		return this.lastWrittenIndex;
	}

	long lastWrittenTerm() {
		return this.lastWrittenTerm;
	}

	private void recordWrite(long index, long term) {
		this.lastWrittenIndex = index;
		this.lastWrittenTerm = term;
	}

	private void write(LogEntry entry) {
		this.entries.removeIf((old) -> old.index() >= entry.index());
		this.entries.add(entry);
	}

}
