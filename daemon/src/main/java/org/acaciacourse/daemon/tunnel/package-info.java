/**
 * Tunnels: connections to endpoints through another entry VM. The server that carries
 * them, and the client that opens them.
 */
package org.acaciacourse.daemon.tunnel;
