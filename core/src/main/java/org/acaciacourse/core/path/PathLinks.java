package org.acaciacourse.core.path;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The links of this VM to the endpoints over one path. Links that are lost shortly after
 * one another raise a doubt about the whole path: more likely the VM has lost its links
 * than all of these endpoints have failed. From then on a link is trusted only once it
 * has carried data again.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class PathLinks {

	/** Links that are lost within this time are assumed to have a common cause. */
	private static final long CORRELATION_NANOS = 2_000_000_000L;

	/** How long the losses of links are blamed on the path after a doubt. */
	private static final long DOUBT_NANOS = 3_000_000_000L;

	/**
	 * Bounds how often all links must be checked while many endpoints fail.
	 */
	private static final long MIN_DOUBT_INTERVAL_NANOS = 500_000_000L;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final Map<String, EndpointLink> links = new HashMap<>();

	private final Listener listener;

	private int doubts;

	private long doubtedAt = NEVER;

	private long aliveAt = NEVER;

	/**
	 * Create the links of a path.
	 * @param listener is told when links are lost and regained
	 */
	public PathLinks(Listener listener) {
		this.listener = listener;
	}

	/**
	 * Return the link to an endpoint.
	 * @param endpoint its instance
	 * @return the link, trusted at first
	 */
	public EndpointLink link(String endpoint) {
		return this.links.computeIfAbsent(endpoint, (instance) -> new EndpointLink(this, instance));
	}

	/**
	 * Forget the links to all other endpoints.
	 * @param isInFleet returns whether an instance is still listed
	 */
	public void retain(Predicate<String> isInFleet) {
		this.links.keySet().removeIf((instance) -> !isInFleet.test(instance));
	}

	/**
	 * Return how many links are lost.
	 * @return the number of links
	 */
	public int lostCount() {
		return (int) this.links.values().stream().filter(EndpointLink::isLost).count();
	}

	/**
	 * Return whether the loss of a link is more likely due to the path than to the
	 * endpoint.
	 * @param now the time
	 * @return whether several links were lost together lately
	 */
	public boolean isDoubted(long now) {
		return now - this.doubtedAt < DOUBT_NANOS && lostCount() > 1;
	}

	/**
	 * Return whether the path has carried data lately.
	 * @param nanos what counts as lately
	 * @param now the time
	 * @return whether it has, and was not doubted since
	 */
	boolean isProven(long nanos, long now) {
		return now - this.aliveAt < nanos && this.aliveAt > this.doubtedAt;
	}

	boolean wasLostWithin(String endpoint, long nanos, long now) {
		EndpointLink link = this.links.get(endpoint);
		return link != null && link.wasLostWithin(nanos, now);
	}

	boolean isAliveSince(String endpoint, long time) {
		EndpointLink link = this.links.get(endpoint);
		return link != null && link.aliveAt() > time;
	}

	void alive(long now) {
		this.aliveAt = now;
	}

	int doubts() {
		return this.doubts;
	}

	void lost(EndpointLink link, LinkSign sign, long now) {
		this.listener.linkLost(link.endpoint(), sign, lostCount(), this.links.size());
		if (isOtherLost(link, now) && now - this.doubtedAt >= MIN_DOUBT_INTERVAL_NANOS) {
			this.doubts++;
			this.doubtedAt = now;
			this.listener.pathDoubted(lostCount(), this.links.size());
		}
	}

	private boolean isOtherLost(EndpointLink link, long now) {
		return this.links.values()
			.stream()
			.anyMatch((other) -> other != link && other.wasLostWithin(CORRELATION_NANOS, now));
	}

	void regained(EndpointLink link, long now) {
		this.listener.linkRegained(link.endpoint(), now - link.lostAt());
	}

	/** Is told of changes, for the log. */
	public interface Listener {

		/**
		 * A link was lost.
		 * @param endpoint the instance of its endpoint
		 * @param sign the sign of the loss
		 * @param lost the number of links that are lost now
		 * @param known the number of links
		 */
		void linkLost(String endpoint, LinkSign sign, int lost, int known);

		/**
		 * A lost link carried data again.
		 * @param endpoint the instance of its endpoint
		 * @param lostNanos for how long it was lost
		 */
		void linkRegained(String endpoint, long lostNanos);

		/**
		 * Several links were lost together, so that all of them must be checked.
		 * @param lost the number of links that are lost now
		 * @param known the number of links
		 */
		void pathDoubted(int lost, int known);

	}

}
