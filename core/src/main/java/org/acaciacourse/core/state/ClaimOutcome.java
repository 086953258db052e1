package org.acaciacourse.core.state;

/**
 * How a claimed request ended.
 * <p>
 * Immutable and thread safe.
 */
public enum ClaimOutcome {

	/** Claimed and not ended. */
	IN_PROGRESS,

	/** Ran, and the answer is known. */
	ANSWERED,

	/** Proven not to have run; the key may be claimed anew. */
	NOT_RUN,

	/** May have run. */
	UNKNOWN;

	/**
	 * Return whether the same key may be claimed again.
	 * @return whether a new claim may run
	 */
	public boolean permitsNewClaim() {
		return this == NOT_RUN;
	}

}
