package org.acaciacourse.core.dispatch;

/**
 * How an attempt at an endpoint ended.
 * <p>
 * Immutable and thread safe.
 */
public enum AttemptOutcome {

	/** The whole answer was received. */
	COMPLETE(false),

	/** The connection could not be opened; no byte was sent. */
	NOT_SENT(true),

	/** The endpoint said that it did not run the request (overload, draining). */
	REFUSED(true),

	/** The endpoint answered with an error of the request itself; a repeat is useless. */
	REJECTED(false),

	/** The connection broke before the end of the answer. */
	LOST(true),

	/** No progress within the bound. */
	SILENT(true),

	/** The endpoint process crashed while it ran the request. */
	CRASHED(true),

	/** This VM cancelled the attempt. */
	CANCELLED(false);

	private final boolean retryable;

	AttemptOutcome(boolean retryable) {
		this.retryable = retryable;
	}

	/**
	 * Return whether another attempt elsewhere may help.
	 * @return whether a retry makes sense, budget and repeatability aside
	 */
	public boolean isRetryable() {
		return this.retryable;
	}

	/**
	 * Return whether the outcome speaks against the endpoint.
	 * @return whether the endpoint is to be distrusted
	 */
	public boolean isEndpointFailure() {
		return this == NOT_SENT || this == LOST || this == SILENT || this == CRASHED;
	}

}
