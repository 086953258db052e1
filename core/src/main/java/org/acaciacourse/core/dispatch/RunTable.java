package org.acaciacourse.core.dispatch;

import java.util.Arrays;

/**
 * The current runs by the number of their attempt. The low bits of the number are the
 * place in the table, so that the lookup for each token allocates nothing; the high bits
 * differ at each use of a place, so that a late event of an old attempt finds nothing.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class RunTable {

	private static final int PLACE_BITS = 20;

	private static final int PLACE_MASK = (1 << PLACE_BITS) - 1;

	private Run[] runs = new Run[64];

	private int[] free = new int[64];

	private int freeCount;

	private int used;

	private long uses;

	/**
	 * Take a place and return the number for the next run.
	 * @return the number, positive and unique
	 */
	long nextId() {
		int place = (this.freeCount > 0) ? this.free[this.freeCount - 1] : this.used;
		return (++this.uses << PLACE_BITS) | place;
	}

	void add(Run run) {
		int place = place(run.id);
		if (this.freeCount > 0) {
			this.freeCount--;
		}
		else {
			this.used++;
		}
		if (place >= this.runs.length) {
			this.runs = Arrays.copyOf(this.runs, 2 * this.runs.length);
		}
		this.runs[place] = run;
	}

	Run find(long id) {
		int place = place(id);
		Run run = (place < this.runs.length) ? this.runs[place] : null;
		return (run != null && run.id == id) ? run : null;
	}

	void remove(Run run) {
		int place = place(run.id);
		this.runs[place] = null;
		if (this.freeCount == this.free.length) {
			this.free = Arrays.copyOf(this.free, 2 * this.free.length);
		}
		this.free[this.freeCount++] = place;
	}

	private static int place(long id) {
		return (int) (id & PLACE_MASK);
	}

}
