/**
 * Fair shares of customers in a pool that is short of capacity: accounting of their work,
 * its exchange between entry VMs, and which requests are over share.
 */
package org.acaciacourse.core.share;
