/**
 * Reconciles model engines with the manifest by sending them orders, under a lease.
 */
package org.acaciacourse.core.order;
