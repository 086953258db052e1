/**
 * The link of an entry VM to the control VMs.
 */
package org.acaciacourse.daemon.link;
