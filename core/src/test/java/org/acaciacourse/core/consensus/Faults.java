package org.acaciacourse.core.consensus;

import java.util.Optional;
import java.util.OptionalLong;

import org.acaciacourse.core.state.ProposalClock;

/**
 * The steps that a mutant gets wrong; here they are right.
 */
class Faults {

	SimulatedDisk newDisk() {
		return new SimulatedDisk();
	}

	ReplicaId identityAfterDiskLoss(ReplicaId old, ReplicaId fresh) {
		return fresh;
	}

	OptionalLong checkLease(SimulatedNode node) {
		return node.holder.fencingNumber(node.monotonic());
	}

	long proposedAt(SimulatedNode node, Optional<ProposalClock> clock) {
		return clock.orElseThrow().proposedAt(node.wallMillis(), node.monotonic());
	}

}
