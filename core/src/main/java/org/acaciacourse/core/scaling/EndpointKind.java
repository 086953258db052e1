package org.acaciacourse.core.scaling;

/**
 * The kinds of endpoints that can be ordered.
 * <p>
 * Immutable and thread safe.
 */
public enum EndpointKind {

	/** Stays until it is ordered away. */
	PERMANENT("permanent"),

	/**
	 * Costs less, and the platform may take all of a data centre back at short notice.
	 */
	RECLAIMABLE("reclaimable");

	private final String label;

	EndpointKind(String label) {
		this.label = label;
	}

	/**
	 * Return the word for logs.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

}
