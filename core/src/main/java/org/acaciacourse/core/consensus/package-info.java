/**
 * The replicated log, based on Raft: leader election, log replication, membership changes
 * and snapshots.
 */
package org.acaciacourse.core.consensus;
