package org.acaciacourse.core.balance;

import net.openhft.hashing.LongHashFunction;

/**
 * How many endpoints are compared for one request. What is known of the other entry VMs
 * is as old as their digests. Whatever they sent since is untold, and if all take the
 * endpoint that looks best to all of them, it gets all of that: with many entry VMs a
 * crowd moves from endpoint to endpoint, each time filling one up while others are idle.
 * The best of a few that are drawn at random spreads the requests better then
 * (Mitzenmacher, How Useful Is Old Information?, 2000). The fewer requests are untold,
 * the more endpoints are compared, up to all.
 * <p>
 * Not thread safe: belongs to one {@link PoolBalancer}.
 */
final class CandidateSampler {

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	/** The best of one is no choice. */
	private static final int MIN_CANDIDATES = 2;

	/** Over what time requests are counted: longer than the clumps that callers send. */
	private static final double RATE_WINDOW_SECONDS = 1;

	private final PeerLoads peers;

	private double requestsPerSecond;

	private long updatedAt;

	CandidateSampler(PeerLoads peers) {
		this.peers = peers;
	}

	/**
	 * This VM sent a request.
	 * @param now the time
	 */
	void requestSent(long now) {
		this.requestsPerSecond = requestsPerSecond(now) + 1 / RATE_WINDOW_SECONDS;
		this.updatedAt = now;
	}

	private double requestsPerSecond(long now) {
		double age = Math.max(0, now - this.updatedAt) / 1e9;
		return this.requestsPerSecond * Math.exp(-age / RATE_WINDOW_SECONDS);
	}

	/**
	 * Return the share of endpoints to compare. The best of a share of them is the best
	 * for that share of the untold requests.
	 * @param maxUnreported how many untold requests one endpoint may get
	 * @param now the time
	 * @return the share, 1 for all
	 */
	double share(double maxUnreported, long now) {
		// Callers are spread over the entry VMs, so that the others send what this one
		// does; a digest is half its pause old in the mean.
		double unreported = requestsPerSecond(now) * this.peers.peerCount() * this.peers.intervalNanos() / 2e9;
		return (unreported <= maxUnreported) ? 1 : maxUnreported / unreported;
	}

	/**
	 * Draws from endpoints that are asked for one after the other: those from a random
	 * one on, so that each is as likely as any other.
	 */
	static final class Draw {

		private final int endpoints;

		private final int size;

		private final int start;

		private int visited;

		/**
		 * Make a draw.
		 * @param share the share to draw
		 * @param endpoints how many there are
		 * @param salt decides which
		 */
		Draw(double share, int endpoints, long salt) {
			this.endpoints = Math.max(1, endpoints);
			this.size = Math.max(MIN_CANDIDATES, (int) Math.ceil(share * endpoints));
			this.start = Math.floorMod(HASH.hashLong(salt), this.endpoints);
		}

		/**
		 * Return whether the next endpoint is drawn.
		 * @return whether to compare it
		 */
		boolean isNextDrawn() {
			int position = Math.floorMod(this.visited - this.start, this.endpoints);
			this.visited++;
			return position < this.size;
		}

	}

}
