/**
 * Connections of the inner protocol: Thrift servers and clients with bounds, timeouts and
 * the shared key.
 */
package org.acaciacourse.daemon.inner;
