package org.acaciacourse.core.consensus;

import java.util.Objects;

/**
 * A replica as the replicated membership lists it.
 * <p>
 * Immutable and thread safe.
 *
 * @param id its identity
 * @param vm the name of the VM it runs on
 * @param address host and port of its inner server
 * @param voter whether it counts for quorums; a learner only receives the log
 */
public record Member(ReplicaId id, String vm, String address, boolean voter) {

	public Member {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(vm, "vm");
		Objects.requireNonNull(address, "address");
	}

	// By hand, as the generated methods are put together at their first use: some tens of
	// milliseconds, which callers wait for after a start.
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
