/**
 * Duties that one control VM at a time carries out by calls to the platform, under a
 * lease with fencing numbers: which VM asks for the lease, and when a call is repeated.
 */
package org.acaciacourse.core.duty;
