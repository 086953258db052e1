package org.acaciacourse.core.memory;

/**
 * What draws on the memory budget of an entry VM. A use may begin something new only
 * while all uses together take less than its share of the budget. A response that is not
 * read can wait at its endpoint at no cost, while a request without room is refused: the
 * share of requests is the largest, and a part of it is theirs whatever others take.
 * <p>
 * Immutable and thread safe.
 */
public enum MemoryUse {

	/** Responses written to callers' connections and not yet sent. */
	UNREAD_RESPONSES("unread-responses", 0.75, 0),

	/** Responses that are buffered until they are complete. */
	BUFFERED_RESPONSES("buffered-responses", 0.9, 0),

	/** Heads and bodies of requests, until their response was written. */
	REQUESTS("requests", 1, 0.25);

	private final String label;

	private final double share;

	private final double reserve;

	MemoryUse(String label, double share, double reserve) {
		this.label = label;
		this.share = share;
		this.reserve = reserve;
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

	/**
	 * Return the bytes that no other use can take from this one.
	 * @param limit the bytes of the budget
	 * @return the bytes
	 */
	long reserve(long limit) {
		return (long) (limit * this.reserve);
	}

}
