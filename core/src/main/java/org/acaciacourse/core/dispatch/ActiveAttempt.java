package org.acaciacourse.core.dispatch;

/**
 * An attempt at an endpoint, from its dispatch until its outcome is reported.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class ActiveAttempt {

	final long id;

	final PendingRequest pending;

	final EndpointView endpoint;

	final long sentAt;

	/** Uses the guaranteed share of the low tier and is never preempted. */
	final boolean guaranteed;

	/** Sent although all slots of the endpoint were occupied. */
	final boolean overcommitted;

	/** Must not share its endpoint with other requests, as its content may crash it. */
	final boolean isolated;

	long lastTokenAt;

	int tokens;

	/** Whether this VM has requested the cancellation. */
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
