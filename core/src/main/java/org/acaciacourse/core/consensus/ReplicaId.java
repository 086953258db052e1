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

	// By hand, as the generated methods are put together at their first use: some tens of
	// milliseconds, which callers wait for after a start.
	@Override
	public boolean equals(Object other) {
		return this == other || (other instanceof ReplicaId that && this.value == that.value);
	}

	@Override
	public int hashCode() {
		return Long.hashCode(this.value);
	}

}
