package org.acaciacourse.core.memory;

/**
 * A response of which bytes may wait for its caller. Its state is kept by
 * {@link UnreadResponses}.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
public class UnreadResponse {

	private long unread;

	private long taken;

	private long progressAt;

	private boolean paused;

	private boolean readOn;

	private boolean ended;

	/**
	 * Return the bytes that waited for the caller when it was last looked at.
	 * @return the bytes
	 */
	public final long unread() {
		return this.unread;
	}

	/**
	 * Return whether reading from the endpoint is to be paused.
	 * @return whether it is
	 */
	public final boolean isPaused() {
		return this.paused;
	}

	/**
	 * Return for how long the caller has taken nothing while bytes waited.
	 * @param now the time in nanoseconds
	 * @return nanoseconds, 0 if no bytes wait
	 */
	public final long idleNanos(long now) {
		return (this.unread > 0) ? now - this.progressAt : 0;
	}

	void observe(long nextUnread, long nextTaken, long now) {
		if (nextTaken > this.taken || this.unread == 0) {
			this.progressAt = now;
		}
		this.unread = nextUnread;
		this.taken = nextTaken;
	}

	void paused(boolean next) {
		this.paused = next;
	}

	// Whether it counts as one that is read on beyond its window.
	boolean isReadOn() {
		return this.readOn;
	}

	void readOn(boolean next) {
		this.readOn = next;
	}

	boolean isEnded() {
		return this.ended;
	}

	void end() {
		this.ended = true;
		this.unread = 0;
		this.paused = false;
	}

}
