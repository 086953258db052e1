package org.acaciacourse.core.admission;

/**
 * Why a request was sent or refused.
 * <p>
 * Immutable and thread safe.
 */
public enum AdmissionReason {

	/** Nothing was observed yet from which the time could be estimated. */
	UNKNOWN("unknown", true),

	/** The endpoint that was chosen serves it while its caller waits. */
	IN_TIME("in-time", true),

	/** Another endpoint serves it while its caller waits. */
	ELSEWHERE("elsewhere", true),

	/** It seems too late, but an endpoint has a free slot and nothing waits there. */
	FREE_SLOT("free-slot", true),

	/** It seems too late, but no more than half of the pool's slots are taken. */
	HALF_EMPTY("half-empty", true),

	/** No endpoint serves it while its caller waits. */
	TOO_LATE("too-late", false);

	private final String label;

	private final boolean admitted;

	AdmissionReason(String label, boolean admitted) {
		this.label = label;
		this.admitted = admitted;
	}

	/**
	 * Return the name used in logs and metrics.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Return whether the request is sent.
	 * @return false if it is refused
	 */
	public boolean isAdmitted() {
		return this.admitted;
	}

}
