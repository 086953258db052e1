package org.acaciacourse.daemon.control;

import org.acaciacourse.core.consensus.Membership;
import org.acaciacourse.core.consensus.ReplicaStatus;

/**
 * The view of the replica that its thread publishes to other threads.
 * <p>
 * Immutable and thread safe.
 *
 * @param status role, term, leader and commit index
 * @param membership the current membership
 * @param appliedIndex the index of the last applied entry
 * @param number the number of the current manifest
 * @param digest its digest
 * @param crashRevision the revision of the latest crash report
 * @param needsToJoin whether the replica should ask to join because no leader replicates
 * to it as a member
 */
record ReplicaView(ReplicaStatus status, Membership membership, long appliedIndex, long number, String digest,
		long crashRevision, boolean needsToJoin) {
	// Written by hand: the methods generated for a record are linked at their first use,
	// which takes some tens of milliseconds and would delay calls after a start.
	@Override
	public boolean equals(Object other) {
		return this == other || (other instanceof ReplicaView that && this.status.equals(that.status)
				&& this.membership.equals(that.membership) && this.appliedIndex == that.appliedIndex
				&& this.number == that.number && this.digest.equals(that.digest)
				&& this.crashRevision == that.crashRevision && this.needsToJoin == that.needsToJoin);
	}

	@Override
	public int hashCode() {
		int hash = this.status.hashCode();
		hash = 31 * hash + this.membership.hashCode();
		hash = 31 * hash + Long.hashCode(this.appliedIndex);
		hash = 31 * hash + Long.hashCode(this.number);
		hash = 31 * hash + this.digest.hashCode();
		hash = 31 * hash + Long.hashCode(this.crashRevision);
		hash = 31 * hash + Boolean.hashCode(this.needsToJoin);
		return hash;
	}

}
