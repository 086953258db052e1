/**
 * The callers' HTTP server: HTTP/1.1 and HTTP/2, bounds on what a caller may send, TLS.
 */
package org.acaciacourse.daemon.http;
