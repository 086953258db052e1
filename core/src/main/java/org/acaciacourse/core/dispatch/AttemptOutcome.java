package org.acaciacourse.core.dispatch;

/**
 * The outcome of an attempt at an endpoint.
 * <p>
 * Immutable and thread safe.
 */
public enum AttemptOutcome {

	/** The complete response was received. */
	COMPLETE(false),

	/** The connection could not be opened; no byte was sent. */
	NOT_SENT(true),

	/** The endpoint reported that it did not run the request (overload or draining). */
	REFUSED(true),

	/**
	 * The endpoint responded with an error caused by the request itself; a retry would
	 * fail too.
	 */
	REJECTED(false),

	/** The connection broke before the response was complete. */
	LOST(true),

	/** The endpoint made no progress within the time limit. */
	SILENT(true),

	/** The endpoint process crashed while running the request. */
	CRASHED(true),

	/** This VM cancelled the attempt. */
	CANCELLED(false);

	private final boolean retryable;

	AttemptOutcome(boolean retryable) {
		this.retryable = retryable;
	}

	/**
	 * Return whether an attempt at another endpoint may succeed.
	 * @return whether a retry makes sense, regardless of retry budgets and of whether the
	 * request may be repeated
	 */
	public boolean isRetryable() {
		return this.retryable;
	}

	/**
	 * Return whether the outcome indicates a fault of the endpoint.
	 * @return whether the outcome counts as a failure of the endpoint
	 */
	public boolean isEndpointFailure() {
		return this == NOT_SENT || this == LOST || this == SILENT || this == CRASHED;
	}

}
