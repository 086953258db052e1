package org.acaciacourse.core.attempt;

/**
 * How an attempt to send a request to an endpoint ended, as seen by the entry VM.
 * <p>
 * Immutable and thread safe.
 */
public enum AttemptEnd {

	/** The whole response was forwarded. */
	ANSWERED(true, true),

	/** No connection could be used: no byte of the request left this VM. */
	NOT_SENT(false, false),

	/** The endpoint reported that it did not run the request. */
	NOT_RUN(true, false),

	/** The endpoint sent a complete error response. */
	FAILED(true, true),

	/** The connection was closed or the response was damaged before its end. */
	BROKEN(true, true),

	/** The response belongs to another request. */
	MISMATCH(true, true),

	/** No data arrived within the time limit. */
	SILENT(true, true);

	private final boolean sent;

	private final boolean mayHaveRun;

	AttemptEnd(boolean sent, boolean mayHaveRun) {
		this.sent = sent;
		this.mayHaveRun = mayHaveRun;
	}

	/**
	 * Return whether a byte of the request may have reached the endpoint.
	 * @return false only if no byte of the request left this VM
	 */
	public boolean isSent() {
		return this.sent;
	}

	/**
	 * Return whether the endpoint may have run the request.
	 * @return false only if it certainly did not run it and never will
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

}
