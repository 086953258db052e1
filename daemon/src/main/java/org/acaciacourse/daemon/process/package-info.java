/**
 * What a process does about the faults of its threads.
 */
package org.acaciacourse.daemon.process;
