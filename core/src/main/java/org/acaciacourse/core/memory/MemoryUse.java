package org.acaciacourse.core.memory;

/**
 * What draws on the memory budget of an entry VM. A use may begin something new only
 * while all uses together take less than its share of the budget. A response that is not
 * read can wait at its endpoint at no cost, while a request body without room is refused:
 * the share of request bodies is the largest.
 * <p>
 * Immutable and thread safe.
 */
public enum MemoryUse {

	/** Responses written to callers' connections and not yet sent. */
	UNREAD_RESPONSES("unread-responses", 0.75),

	/** Responses that are buffered until they are complete. */
	BUFFERED_RESPONSES("buffered-responses", 0.9),

	/** Request bodies, until their response was written. */
	REQUEST_BODIES("request-bodies", 1);

	private final String label;

	private final double share;

	MemoryUse(String label, double share) {
		this.label = label;
		this.share = share;
	}

	/**
	 * Return the name of the use in metrics.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Return the bytes of all uses up to which this one may take more.
	 * @param limit the bytes of the budget
	 * @return the bytes
	 */
	long bound(long limit) {
		return (long) (limit * this.share);
	}

}
