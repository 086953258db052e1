package org.acaciacourse.core.balance;

/**
 * The engines that are reserved for brief requests.
 * <p>
 * Immutable and thread safe.
 *
 * @param engines the number of reserved engines
 * @param running the number of brief requests that run at all entry VMs
 * @param waitingWork the work that waits at each of the other engines
 */
public record Division(int engines, int running, long waitingWork) {
}
