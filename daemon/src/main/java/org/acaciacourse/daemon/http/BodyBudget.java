package org.acaciacourse.daemon.http;

/**
 * Bounds the memory of the request bodies that a server holds, from their first byte
 * until their response was written.
 * <p>
 * Not thread safe: belongs to the event loop of the connections.
 */
public interface BodyBudget {

	/**
	 * Return whether a body may be read. Nothing is taken: a caller that announces bytes
	 * and does not send them must not keep others out.
	 * @param bytes the bytes that its caller announced
	 * @return whether there is room for them now
	 */
	boolean hasRoom(long bytes);

	/**
	 * Take memory for what was received of a body.
	 * @param bytes the bytes, more than 0
	 * @return whether there is room; if not, nothing is taken
	 */
	boolean take(long bytes);

	/**
	 * Give memory back.
	 * @param bytes the bytes
	 */
	void release(long bytes);

}
