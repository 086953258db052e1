package org.acaciacourse.daemon.route;

import java.time.Duration;

/**
 * The number of VMs among which the retry budgets are divided.
 * <p>
 * Immutable and thread safe.
 *
 * @param vms the number of VMs, 0 while it is not known
 * @param countAge the time since control last reported the number of entry VMs, or since
 * the start if it never did
 * @param uptime the time since this process began to account for retries
 */
record RetrySharing(int vms, Duration countAge, Duration uptime) {
}
