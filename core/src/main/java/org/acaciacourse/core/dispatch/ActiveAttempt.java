package org.acaciacourse.core.dispatch;

/**
 * One attempt at an endpoint, from dispatch until its end is reported.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class ActiveAttempt {

	final long id;

	final PendingRequest pending;

	final EndpointView endpoint;

	final long sentAt;

	/** Runs on the guaranteed share of the low tier and is not preempted. */
	final boolean guaranteed;

	/** Was sent beyond the slots of the endpoint. */
	final boolean overcommitted;

	/** Runs apart from other requests. */
	final boolean isolated;

	long lastTokenAt;

	int tokens;

	/** This VM asked for the cancellation. */
	boolean cancelled;

	ActiveAttempt(long id, PendingRequest pending, EndpointView endpoint, long sentAt, boolean guaranteed,
			boolean overcommitted) {
		this.id = id;
		this.pending = pending;
		this.endpoint = endpoint;
		this.sentAt = sentAt;
		this.guaranteed = guaranteed;
		this.overcommitted = overcommitted;
		this.isolated = pending.isolated;
		this.lastTokenAt = sentAt;
	}

}
