/**
 * The control daemon: the replica's loop, its peers, the servers and the bootstrap.
 */
package org.acaciacourse.daemon.control;
