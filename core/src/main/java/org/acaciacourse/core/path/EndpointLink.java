package org.acaciacourse.core.path;

/**
 * The link from this VM to one endpoint over one path. Invariant: the link is trusted if
 * nothing was seen that speaks against it since it last carried data.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class EndpointLink {

	/**
	 * How long no new connection is tried after one failed, unless nothing else is left.
	 * Bounds how long a link that is back remains unused.
	 */
	private static final long CONNECT_INTERVAL_NANOS = 1_000_000_000L;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final PathLinks path;

	private final String endpoint;

	private boolean lost;

	private long lostAt = NEVER;

	private long aliveAt = NEVER;

	private long connectFailedAt = NEVER;

	/** The doubts about the path when the link last carried data. */
	private int answeredDoubts;

	EndpointLink(PathLinks path, String endpoint) {
		this.path = path;
		this.endpoint = endpoint;
		this.answeredDoubts = path.doubts();
	}

	/**
	 * Record that a connection was established.
	 * @param now the time
	 */
	public void connected(long now) {
		this.connectFailedAt = NEVER;
		alive(now);
	}

	/**
	 * Record that no connection could be established. Connections that are open may live
	 * on.
	 * @param sign the sign of the loss
	 * @param now the time
	 */
	public void connectFailed(LinkSign sign, long now) {
		this.connectFailedAt = now;
		lost(sign, now);
	}

	/**
	 * Return whether a new connection should be tried over this link.
	 * @param now the time
	 * @return whether none failed lately
	 */
	public boolean mayConnect(long now) {
		return now - this.connectFailedAt >= CONNECT_INTERVAL_NANOS;
	}

	/**
	 * Record that data arrived.
	 * @param now the time
	 */
	public void alive(long now) {
		if (this.lost) {
			this.lost = false;
			this.path.regained(this, now);
		}
		this.aliveAt = now;
		this.path.alive(now);
		this.answeredDoubts = this.path.doubts();
	}

	/**
	 * Record a sign that the link is lost.
	 * @param sign the sign
	 * @param now the time
	 */
	public void lost(LinkSign sign, long now) {
		if (!this.lost) {
			this.lost = true;
			this.lostAt = now;
			this.path.lost(this, sign, now);
		}
	}

	/**
	 * Return whether a kept connection may be used without a check that the link works.
	 * @return whether nothing speaks against the link
	 */
	public boolean isTrusted() {
		return !this.lost && this.answeredDoubts == this.path.doubts();
	}

	/**
	 * Return whether a loss of the link is more likely due to its path than to the
	 * endpoint.
	 * @param now the time
	 * @return whether several links were lost together lately
	 */
	public boolean isPathDoubted(long now) {
		return this.path.isDoubted(now);
	}

	/**
	 * Return the instance of the endpoint.
	 * @return the instance
	 */
	public String endpoint() {
		return this.endpoint;
	}

	/**
	 * Return when the link last carried data.
	 * @return the time, far in the past if it never did
	 */
	public long aliveAt() {
		return this.aliveAt;
	}

	boolean isLost() {
		return this.lost;
	}

	boolean wasLostWithin(long nanos, long now) {
		return this.lost && now - this.lostAt < nanos;
	}

	long lostAt() {
		return this.lostAt;
	}

}
