package org.acaciacourse.core.consensus;

import java.time.Duration;

/**
 * Timeouts and size limits of a replica. Invariant: several heartbeats fit into an
 * election timeout, so that a single lost heartbeat does not start an election.
 * <p>
 * Immutable and thread safe.
 *
 * @param heartbeatNanos the interval between heartbeats of a leader, in nanoseconds
 * @param electionTimeoutNanos the minimum election timeout in nanoseconds; each replica
 * draws its timeout at random between this and twice this
 * @param maxBatchBytes the maximum payload of a message in bytes, exceeded only by a
 * single larger entry
 * @param maxInFlightBytes the maximum payload in bytes that is sent to a follower and not
 * acknowledged
 */
public record ReplicaTiming(long heartbeatNanos, long electionTimeoutNanos, int maxBatchBytes, int maxInFlightBytes) {

	public ReplicaTiming {
		if (heartbeatNanos <= 0 || electionTimeoutNanos < 3 * heartbeatNanos) {
			throw new IllegalArgumentException(
					"heartbeatNanos must be positive and electionTimeoutNanos at least three times as long");
		}
		if (maxBatchBytes <= 0 || maxInFlightBytes < maxBatchBytes) {
			throw new IllegalArgumentException("maxBatchBytes must be positive and at most maxInFlightBytes");
		}
	}

	/**
	 * Return settings for data centres about a millisecond apart and disks that sync
	 * within some tens of milliseconds.
	 * @return the defaults
	 */
	public static ReplicaTiming defaults() {
		return new ReplicaTiming(Duration.ofMillis(100).toNanos(), Duration.ofMillis(1_000).toNanos(), 256 * 1024,
				4 * 1024 * 1024);
	}

}
