/**
 * The data folder of a replica: identity, hard state, log segments and snapshots.
 */
package org.acaciacourse.daemon.store;
