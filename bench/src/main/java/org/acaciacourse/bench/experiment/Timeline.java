package org.acaciacourse.bench.experiment;

import java.util.PriorityQueue;

/**
 * Virtual time: actions run in order of their time, and in order of scheduling at the
 * same time, so that a run is the same on every machine.
 * <p>
 * Not thread safe: one experiment runs on one thread.
 */
final class Timeline {

	static final long MILLI = 1_000_000L;

	static final long SECOND = 1_000 * MILLI;

	private final PriorityQueue<Entry> queue = new PriorityQueue<>();

	private long now;

	private long sequence;

	long now() {
		return this.now;
	}

	void at(long time, Runnable action) {
		this.queue.add(new Entry(Math.max(time, this.now), this.sequence++, action));
	}

	void after(long nanos, Runnable action) {
		at(this.now + nanos, action);
	}

	void runUntil(long end) {
		while (!this.queue.isEmpty() && this.queue.peek().time <= end) {
			Entry next = this.queue.poll();
			this.now = next.time;
			next.action.run();
		}
		this.now = end;
	}

	private record Entry(long time, long sequence, Runnable action) implements Comparable<Entry> {

		@Override
		public int compareTo(Entry other) {
			int byTime = Long.compare(this.time, other.time);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

}
