/**
 * How fast endpoints work compared with the others of their pool: the learning from
 * requests, the exchange between entry VMs, and what endpoints state of their machines.
 */
package org.acaciacourse.core.speed;
