package org.acaciacourse.core.dispatch;

/**
 * One attempt at an endpoint, from dispatch until its end is reported.
 * <p>
 * Not thread safe: owned by one dispatcher.
 */
final class Run {

	final long id;

	final PendingRequest pending;

	final EndpointView endpoint;

	final long sentAt;

	/** Runs on the guaranteed share of the low tier and is not preempted. */
	final boolean guaranteed;

	/** Was sent beyond the slots of the endpoint. */
	final boolean beyond;

	/** Runs apart from other requests. */
	final boolean apart;

	long lastTokenAt;

	int tokens;

	/** This VM asked for the cancellation. */
	boolean cancelled;

	Run(long id, PendingRequest pending, EndpointView endpoint, long sentAt, boolean guaranteed, boolean beyond) {
		this.id = id;
		this.pending = pending;
		this.endpoint = endpoint;
		this.sentAt = sentAt;
		this.guaranteed = guaranteed;
		this.beyond = beyond;
		this.apart = pending.apart;
		this.lastTokenAt = sentAt;
	}

}
