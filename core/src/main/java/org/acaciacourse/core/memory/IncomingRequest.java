package org.acaciacourse.core.memory;

/**
 * What is held of a caller's request, from its first byte until its response was written.
 * Its state is kept by {@link IncomingRequests}.
 * <p>
 * Not thread safe: belongs to the event loop of its connection.
 */
public class IncomingRequest {

	private long buffered;

	private long taken;

	/**
	 * Return what the request takes of the budget.
	 * @return the bytes
	 */
	public final long held() {
		return this.buffered + this.taken;
	}

	long buffered() {
		return this.buffered;
	}

	void buffered(long bytes) {
		this.buffered = bytes;
	}

	void take(long bytes) {
		this.taken += bytes;
	}

	void clear() {
		this.buffered = 0;
		this.taken = 0;
	}

}
