/**
 * The holder's side of a lease, by the monotonic clock.
 */
package org.acaciacourse.core.lease;
