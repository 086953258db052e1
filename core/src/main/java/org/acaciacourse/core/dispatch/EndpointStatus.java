package org.acaciacourse.core.dispatch;

/**
 * What membership says of an endpoint.
 * <p>
 * Immutable and thread safe.
 */
public enum EndpointStatus {

	/** May get new work. */
	LIVE,

	/** Finishes what it has and gets nothing new. */
	LEAVING,

	/** Is no more; what it ran is lost. */
	GONE;

	/**
	 * Return whether the endpoint may get new work.
	 * @return whether new work is permitted
	 */
	public boolean acceptsWork() {
		return this == LIVE;
	}

}
