/**
 * Internal connections between VMs: Thrift servers and clients with size limits, timeouts
 * and the shared key.
 */
package org.acaciacourse.daemon.inner;
