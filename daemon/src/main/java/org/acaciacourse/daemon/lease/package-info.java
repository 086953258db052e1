/**
 * Leases on the side of the process that asks for them.
 */
package org.acaciacourse.daemon.lease;
