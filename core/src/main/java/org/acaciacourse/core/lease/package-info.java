/**
 * The holder's side of a lease, timed by the monotonic clock.
 */
package org.acaciacourse.core.lease;
