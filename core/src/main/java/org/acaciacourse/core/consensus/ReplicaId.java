package org.acaciacourse.core.consensus;

/**
 * The identity of a replica. It is made when a data folder is created and lies in it, so
 * that a replica that lost its disk is another replica and cannot vote twice.
 * <p>
 * Immutable and thread safe.
 *
 * @param value a random positive number
 */
public record ReplicaId(long value) implements Comparable<ReplicaId> {

	public ReplicaId {
		if (value <= 0) {
			throw new IllegalArgumentException("value must be positive");
		}
	}

	@Override
	public int compareTo(ReplicaId other) {
		return Long.compare(this.value, other.value);
	}

}
