/**
 * Explains the outcome of a request from the decision logs of all VMs alone.
 */
package org.acaciacourse.daemon.explain;
