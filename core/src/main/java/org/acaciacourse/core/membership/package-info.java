/**
 * Assigns endpoints to entry VMs.
 */
package org.acaciacourse.core.membership;
