/**
 * Sends orders to engines while this control VM holds the lease for writing them.
 */
package org.acaciacourse.daemon.order;
