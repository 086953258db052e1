package org.acaciacourse.core.code;

/**
 * What is known about whether a request was run by an endpoint. {@link #NOT_RUN} is a
 * promise: a caller may repeat the request on that account.
 * <p>
 * Immutable and thread safe.
 */
public enum RunState {

	/** No endpoint ran the request, on any attempt. */
	NOT_RUN("not-run"),

	/** An endpoint may have run the request. */
	UNKNOWN("unknown"),

	/** An endpoint ran the request, in part or whole. */
	RUN("run");

	private final String label;

	RunState(String label) {
		this.label = label;
	}

	/**
	 * Return the word used on the wire.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Combine what two attempts of one request tell: the stronger suspicion wins.
	 * @param other the state of the other attempt
	 * @return the state of both together
	 */
	public RunState and(RunState other) {
		return (ordinal() >= other.ordinal()) ? this : other;
	}

}
