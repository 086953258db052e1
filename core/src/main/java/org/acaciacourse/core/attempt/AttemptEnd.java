package org.acaciacourse.core.attempt;

/**
 * How one attempt at an endpoint ended, seen from the entry.
 * <p>
 * Immutable and thread safe.
 */
public enum AttemptEnd {

	/** The whole answer was passed on. */
	ANSWERED(true, true),

	/** No connection: no byte of the request left this VM. */
	NOT_SENT(false, false),

	/** The endpoint stated that it did not run the request. */
	NOT_RUN(true, false),

	/** The endpoint answered in full that it failed. */
	FAILED(true, true),

	/** The connection ended or the answer was damaged before its end. */
	BROKEN(true, true),

	/** An answer came that belongs to another request. */
	MISMATCH(true, true),

	/** Nothing came for too long. */
	SILENT(true, true);

	private final boolean sent;

	private final boolean mayHaveRun;

	AttemptEnd(boolean sent, boolean mayHaveRun) {
		this.sent = sent;
		this.mayHaveRun = mayHaveRun;
	}

	/**
	 * Return whether a byte of the request may have reached the endpoint.
	 * @return whether the attempt counts against the route's attempts
	 */
	public boolean isSent() {
		return this.sent;
	}

	/**
	 * Return whether the endpoint may have run the request.
	 * @return false only if it is certain that it did not and never will
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

}
