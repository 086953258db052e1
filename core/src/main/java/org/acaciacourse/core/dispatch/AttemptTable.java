package org.acaciacourse.core.dispatch;

import java.util.Arrays;

/**
 * The active attempts by id. The low bits of an id are the index in the table, so that
 * the lookup for each token allocates nothing. The high bits are a generation number that
 * differs for each use of an index, so that a late event of an ended attempt finds no
 * entry.
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
	 * Return an id for the next attempt. Its index is taken when the attempt is added.
	 * @return the id, positive and unique
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
