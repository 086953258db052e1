package org.acaciacourse.core.path;

/**
 * The link from this VM to one endpoint over one path. Invariant: the link is trusted if
 * nothing was seen that speaks against it since it last carried data.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class EndpointLink {

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final PathLinks path;

	private final String endpoint;

	private boolean lost;

	private long lostAt = NEVER;

	private long aliveAt = NEVER;

	/** The doubts about the path when the link last carried data. */
	private int answeredDoubts;

	EndpointLink(PathLinks path, String endpoint) {
		this.path = path;
		this.endpoint = endpoint;
		this.answeredDoubts = path.doubts();
	}

	/**
	 * Record that data arrived or a connection was established.
	 * @param now the time
	 */
	public void alive(long now) {
		if (this.lost) {
			this.lost = false;
			this.path.regained(this, now);
		}
		this.aliveAt = now;
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

	long lostAt() {
		return this.lostAt;
	}

}
