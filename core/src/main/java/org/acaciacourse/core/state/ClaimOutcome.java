package org.acaciacourse.core.state;

/**
 * The outcome of a claimed request.
 * <p>
 * Immutable and thread safe.
 */
public enum ClaimOutcome {

	/** Claimed; the request has not ended yet. */
	IN_PROGRESS,

	/** The request ran and its response is known. */
	ANSWERED,

	/** The request certainly did not run; the key may be claimed again. */
	NOT_RUN,

	/** The request may have run. */
	UNKNOWN;

	/**
	 * Return whether the same key may be claimed again.
	 * @return whether a new claim may be granted
	 */
	public boolean permitsNewClaim() {
		return this == NOT_RUN;
	}

}
