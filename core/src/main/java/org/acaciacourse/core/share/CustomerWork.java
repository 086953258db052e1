package org.acaciacourse.core.share;

/**
 * The recent work of a customer in a pool.
 * <p>
 * Immutable and thread safe.
 *
 * @param key the {@link CustomerKey}
 * @param work the work in tokens, decayed until it was told
 */
public record CustomerWork(int key, long work) {

	public CustomerWork {
		if (work < 0) {
			throw new IllegalArgumentException("negative work of customer " + key);
		}
	}

}
