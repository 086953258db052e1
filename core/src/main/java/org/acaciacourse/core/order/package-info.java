/**
 * The orders that bring model engines to what the manifest wants, under a lease.
 */
package org.acaciacourse.core.order;
