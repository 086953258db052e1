package org.acaciacourse.core.balance;

import java.util.OptionalInt;

/**
 * How many requests each endpoint of a pool may refuse within a second for want of room.
 * An endpoint that has to refuse more fails. The endpoints state the limit in their
 * responses while it applies, and all entry VMs share it.
 * <p>
 * Invariant: after a refusal a VM sends nothing to the endpoint for so long that all VMs
 * together, each refused once, stay within the limit.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
final class RefusalLimit {

	/** Longer than the time between two responses to a VM with few requests. */
	private static final long VALIDITY_NANOS = 5_000_000_000L;

	/** Bounds how long an endpoint that has room again remains unused. */
	private static final long MAX_PAUSE_NANOS = 4_000_000_000L;

	private static final double SECOND_NANOS = 1e9;

	/** The fraction of the limit that is used, as VMs learn of each other's load late. */
	private static final double MARGIN = 0.5;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final PeerLoads peers;

	private int perSecond;

	private long statedAt = NEVER;

	/** The id of the endpoint that stated it last. */
	private int statedBy;

	RefusalLimit(PeerLoads peers) {
		this.peers = peers;
	}

	/**
	 * Record that an endpoint stated the limit.
	 * @param endpoint the id of the endpoint
	 * @param refusalsPerSecond the refusals within a second that an endpoint endures
	 * @param now the time
	 */
	void stated(int endpoint, int refusalsPerSecond, long now) {
		this.statedBy = endpoint;
		this.perSecond = Math.max(1, refusalsPerSecond);
		this.statedAt = now;
	}

	/**
	 * End the limit if an endpoint that has started again stated it last.
	 * @param endpoint the id of the endpoint
	 */
	void ended(int endpoint) {
		if (this.statedBy == endpoint) {
			this.statedAt = NEVER;
		}
	}

	/**
	 * Return whether there is a limit now.
	 * @param now the time
	 * @return whether an endpoint stated one lately
	 */
	boolean applies(long now) {
		return now - this.statedAt < VALIDITY_NANOS;
	}

	/**
	 * Return the limit now.
	 * @param now the time
	 * @return the refusals within a second, if there is a limit
	 */
	OptionalInt current(long now) {
		return (applies(now)) ? OptionalInt.of(this.perSecond) : OptionalInt.empty();
	}

	/**
	 * Return how long a VM sends nothing to an endpoint that has refused a request.
	 * @param shortest the pause without a limit
	 * @param now the time
	 * @return the pause in nanoseconds
	 */
	long pauseNanos(long shortest, long now) {
		if (!applies(now)) {
			return shortest;
		}
		int vms = this.peers.peerCount() + 1;
		double pause = SECOND_NANOS * vms / (MARGIN * this.perSecond);
		return Math.max(shortest, (long) Math.min(MAX_PAUSE_NANOS, pause));
	}

}
