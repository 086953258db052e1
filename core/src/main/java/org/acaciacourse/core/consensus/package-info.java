/**
 * The replicated log: election, replication, membership changes and snapshots.
 */
package org.acaciacourse.core.consensus;
