package org.acaciacourse.core.consensus;

/**
 * The unique identifier of a replica. It is generated when a data folder is created and
 * stored in that folder, so that a replica that lost its disk gets another identifier and
 * cannot vote twice in a term.
 * <p>
 * Immutable and thread safe.
 *
 * @param value a random positive number
 */
public record ReplicaId(long value) implements Comparable<ReplicaId> {

	public ReplicaId {
		if (value <= 0) {
			throw new IllegalArgumentException("replica identifier must be positive: " + value);
		}
	}

	@Override
	public int compareTo(ReplicaId other) {
		return Long.compare(this.value, other.value);
	}

	// Written out because the generated methods of a record are linked on first use. That
	// takes tens of milliseconds, which clients would wait for after a start.
	@Override
	public boolean equals(Object other) {
		return this == other || (other instanceof ReplicaId that && this.value == that.value);
	}

	@Override
	public int hashCode() {
		return Long.hashCode(this.value);
	}

}
