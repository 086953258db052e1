package org.acaciacourse.core.code;

/**
 * Whether an endpoint ran a request, as far as is known. {@link #NOT_RUN} is a guarantee:
 * a caller may repeat the request in reliance on it.
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
	 * Return the label used on the wire.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Combine the states of two attempts of one request: the later one in the order of
	 * the constants wins, so that a possible run is never concealed.
	 * @param other the state of the other attempt
	 * @return the combined state
	 */
	public RunState combine(RunState other) {
		return (ordinal() >= other.ordinal()) ? this : other;
	}

}
