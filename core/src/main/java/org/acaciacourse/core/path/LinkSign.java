package org.acaciacourse.core.path;

/**
 * A sign that an endpoint can't be reached over a path. Each of them may also have its
 * cause at the endpoint.
 * <p>
 * Immutable and thread safe.
 */
public enum LinkSign {

	/** A new connection was refused. */
	REFUSED,

	/** A new connection was not established in time. */
	TIMEOUT,

	/** An open connection was reset. */
	RESET,

	/** Requests are in flight, and no data arrives on any connection. */
	SILENT

}
