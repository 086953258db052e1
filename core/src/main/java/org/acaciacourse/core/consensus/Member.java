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

}
