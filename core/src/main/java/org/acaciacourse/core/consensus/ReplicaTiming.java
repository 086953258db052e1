package org.acaciacourse.core.consensus;

import java.time.Duration;

/**
 * Times and bounds of a replica. Invariant: several heartbeats fit into an election
 * timeout, so that a single lost one does not start an election.
 * <p>
 * Immutable and thread safe.
 *
 * @param heartbeatNanos the time between heartbeats of a leader
 * @param electionTimeoutNanos the shortest time without a leader before an election; each
 * replica draws from this to twice this
 * @param maxBatchBytes the payload of a message, unless a single entry is larger
 * @param maxInFlightBytes the payload sent to a follower and not acknowledged
 */
public record ReplicaTiming(long heartbeatNanos, long electionTimeoutNanos, int maxBatchBytes, int maxInFlightBytes) {

	public ReplicaTiming {
		if (heartbeatNanos <= 0 || electionTimeoutNanos < 3 * heartbeatNanos) {
			throw new IllegalArgumentException("an election timeout takes at least three heartbeats");
		}
		if (maxBatchBytes <= 0 || maxInFlightBytes < maxBatchBytes) {
			throw new IllegalArgumentException("a batch must fit into the bytes in flight");
		}
	}

	/**
	 * Return times for data centres that are about a millisecond apart and disks that
	 * sync within some tens of milliseconds.
	 * @return the defaults
	 */
	public static ReplicaTiming defaults() {
		return new ReplicaTiming(Duration.ofMillis(100).toNanos(), Duration.ofMillis(1_000).toNanos(), 256 * 1024,
				4 * 1024 * 1024);
	}

}
