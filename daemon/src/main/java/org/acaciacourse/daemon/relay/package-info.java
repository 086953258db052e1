/**
 * Connections to endpoints that another entry VM relays: the server that relays them, and
 * the client that opens them.
 */
package org.acaciacourse.daemon.relay;
