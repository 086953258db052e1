/**
 * Estimates the time of day although the clocks of some VMs are off.
 */
package org.acaciacourse.core.clock;
