/**
 * The duties that one control VM at a time carries out by calls to the platform.
 */
package org.acaciacourse.daemon.duty;
