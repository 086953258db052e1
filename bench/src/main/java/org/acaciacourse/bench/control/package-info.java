/**
 * Load on running control VMs: commits, failover and changes of configuration.
 */
package org.acaciacourse.bench.control;
