/**
 * The control daemon: the replica's loop, its peers, the servers and the founding.
 */
package org.acaciacourse.daemon.control;
