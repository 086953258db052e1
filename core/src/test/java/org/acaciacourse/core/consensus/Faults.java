package org.acaciacourse.core.consensus;

import java.util.Optional;
import java.util.OptionalLong;

import org.acaciacourse.core.state.ProposalClock;

/**
 * The overridable steps of a {@link SimulatedCluster}. These are correct; a mutant
 * overrides one of them with a faulty version.
 */
class Faults {

	SimulatedDisk newDisk() {
		return new SimulatedDisk();
	}

	ReplicaId identityAfterDiskLoss(ReplicaId previous, ReplicaId fresh) {
		return fresh;
	}

	OptionalLong fencingNumber(SimulatedNode node) {
		return node.leaseHolder.fencingNumber(node.monotonic());
	}

	long proposedAt(SimulatedNode node, Optional<ProposalClock> clock) {
		return clock.orElseThrow().proposedAt(node.wallMillis(), node.monotonic());
	}

}
