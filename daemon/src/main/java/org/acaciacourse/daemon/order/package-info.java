/**
 * Carries out the orders to engines under the lease of the writer.
 */
package org.acaciacourse.daemon.order;
