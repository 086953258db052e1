package org.acaciacourse.daemon.control;

import org.acaciacourse.core.consensus.Membership;
import org.acaciacourse.core.consensus.ReplicaStatus;

/**
 * What the replica's thread shows to the others.
 * <p>
 * Immutable and thread safe.
 *
 * @param status role, term, leader and commit index
 * @param membership the membership in force
 * @param appliedIndex the last entry applied
 * @param number the number of the manifest in force
 * @param digest its digest
 * @param crashRevision the revision of the latest crash report
 */
record Published(ReplicaStatus status, Membership membership, long appliedIndex, long number, String digest,
		long crashRevision) {
}
