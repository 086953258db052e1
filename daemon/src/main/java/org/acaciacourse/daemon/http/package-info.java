/**
 * The HTTP server for callers: HTTP/1.1 and HTTP/2, TLS, limits on requests and
 * connections.
 */
package org.acaciacourse.daemon.http;
