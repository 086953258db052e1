package org.acaciacourse.core.consensus;

import java.util.Objects;

/**
 * A replica as listed in the replicated membership.
 * <p>
 * Immutable and thread safe.
 *
 * @param id its identifier
 * @param vm the name of the VM it runs on
 * @param address host and port of its internal server
 * @param voter whether it counts towards quorums; a learner only receives the log
 */
public record Member(ReplicaId id, String vm, String address, boolean voter) {

	public Member {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(vm, "vm");
		Objects.requireNonNull(address, "address");
	}

	// Written out because the generated methods of a record are linked on first use. That
	// takes tens of milliseconds, which clients would wait for after a start.
	@Override
	public boolean equals(Object other) {
		return this == other || (other instanceof Member that && this.id.equals(that.id) && this.vm.equals(that.vm)
				&& this.address.equals(that.address) && this.voter == that.voter);
	}

	@Override
	public int hashCode() {
		int hash = this.id.hashCode();
		hash = 31 * hash + this.vm.hashCode();
		hash = 31 * hash + this.address.hashCode();
		hash = 31 * hash + Boolean.hashCode(this.voter);
		return hash;
	}

}
