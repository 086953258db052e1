/**
 * An entry VM's link to the control VMs.
 */
package org.acaciacourse.daemon.link;
