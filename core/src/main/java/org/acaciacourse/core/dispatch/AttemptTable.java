package org.acaciacourse.core.dispatch;

import java.util.Arrays;

/**
 * The current runs by the number of their attempt. The low bits of the number are the
 * place in the table, so that the lookup for each token allocates nothing; the high bits
 * differ at each use of a place, so that a late event of an old attempt finds nothing.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class AttemptTable {

	private static final int INDEX_BITS = 20;

	private static final int INDEX_MASK = (1 << INDEX_BITS) - 1;

	private ActiveAttempt[] attempts = new ActiveAttempt[64];

	private int[] freeIndices = new int[64];

	private int freeCount;

	private int allocatedIndices;

	private long generation;

	/**
	 * Take a place and return the number for the next run.
	 * @return the number, positive and unique
	 */
	long nextId() {
		int index = (this.freeCount > 0) ? this.freeIndices[this.freeCount - 1] : this.allocatedIndices;
		return (++this.generation << INDEX_BITS) | index;
	}

	void add(ActiveAttempt attempt) {
		int index = index(attempt.id);
		if (this.freeCount > 0) {
			this.freeCount--;
		}
		else {
			this.allocatedIndices++;
		}
		if (index >= this.attempts.length) {
			this.attempts = Arrays.copyOf(this.attempts, 2 * this.attempts.length);
		}
		this.attempts[index] = attempt;
	}

	ActiveAttempt find(long id) {
		int index = index(id);
		ActiveAttempt attempt = (index < this.attempts.length) ? this.attempts[index] : null;
		return (attempt != null && attempt.id == id) ? attempt : null;
	}

	void remove(ActiveAttempt attempt) {
		int index = index(attempt.id);
		this.attempts[index] = null;
		if (this.freeCount == this.freeIndices.length) {
			this.freeIndices = Arrays.copyOf(this.freeIndices, 2 * this.freeIndices.length);
		}
		this.freeIndices[this.freeCount++] = index;
	}

	private static int index(long id) {
		return (int) (id & INDEX_MASK);
	}

}
