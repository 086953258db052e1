package org.acaciacourse.core.balance;

import net.openhft.hashing.LongHashFunction;

/**
 * Determines how many endpoints are compared for one request. What this VM knows of the
 * other entry VMs is as old as their digests, and the requests that they sent since are
 * unreported. If all entry VMs choose the endpoint that looks best, it receives all of
 * these requests: with many entry VMs the load moves in herds, filling one endpoint after
 * the other while others are idle. Choosing the best of a few random candidates spreads
 * the requests better in that case (Mitzenmacher, How Useful Is Old Information?, 2000).
 * The fewer requests are unreported, the more endpoints are compared, up to all.
 * <p>
 * Not thread safe: belongs to one {@link PoolBalancer}.
 */
final class CandidateSampler {

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	/** With one candidate there is no choice. */
	private static final int MIN_CANDIDATES = 2;

	/** Window of the request rate: longer than the clusters in which callers send. */
	private static final double RATE_WINDOW_SECONDS = 1;

	private final PeerLoads peers;

	private double requestsPerSecond;

	private long updatedAt;

	CandidateSampler(PeerLoads peers) {
		this.peers = peers;
	}

	/**
	 * Record a request that this VM sent.
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
	 * Return the fraction of the endpoints to compare. An endpoint that is the best of
	 * such a sample is so only for that fraction of the unreported requests.
	 * @param maxUnreported how many unreported requests one endpoint may get
	 * @param now the time
	 * @return the fraction, 1 for all
	 */
	double share(double maxUnreported, long now) {
		// Callers are spread over the entry VMs, so the other VMs are assumed to send at
		// the rate of this one. On average a digest is half an interval old.
		double unreported = requestsPerSecond(now) * this.peers.peerCount() * this.peers.intervalNanos() / 2e9;
		return (unreported <= maxUnreported) ? 1 : maxUnreported / unreported;
	}

	static int sampleSize(double share, int endpoints) {
		return Math.max(MIN_CANDIDATES, (int) Math.ceil(share * endpoints));
	}

	/** A random sample of endpoints that are visited in a fixed order. */
	interface Sample {

		/**
		 * Return whether the next endpoint is in the sample.
		 * @param weight its weight, for a sample that takes account of weights
		 * @return whether to compare it
		 */
		boolean isNextDrawn(double weight);

	}

	/**
	 * A random sample of endpoints that are visited in a fixed order: a run of
	 * consecutive ones from a random start, so that each endpoint is equally likely.
	 */
	static final class Draw implements Sample {

		private final int endpoints;

		private final int size;

		private final int start;

		private int visited;

		/**
		 * Make a draw.
		 * @param share the fraction to draw
		 * @param endpoints the number of endpoints
		 * @param salt selects the start
		 */
		Draw(double share, int endpoints, long salt) {
			this.endpoints = Math.max(1, endpoints);
			this.size = sampleSize(share, endpoints);
			this.start = Math.floorMod(HASH.hashLong(salt), this.endpoints);
		}

		@Override
		public boolean isNextDrawn(double weight) {
			int position = Math.floorMod(this.visited - this.start, this.endpoints);
			this.visited++;
			return position < this.size;
		}

	}

}
