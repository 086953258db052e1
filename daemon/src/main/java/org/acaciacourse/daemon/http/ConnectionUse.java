package org.acaciacourse.daemon.http;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;

/**
 * Whether a connection may be closed in favour of a new one, as its caller has sent no
 * complete request, or has read nothing, for a time.
 * <p>
 * Thread safe: written on the event loop of its connection and read on others.
 */
final class ConnectionUse {

	private static final AttributeKey<ConnectionUse> KEY = AttributeKey.valueOf(ConnectionUse.class, "use");

	/** A caller that has just got a response may be about to send its next request. */
	private static final long REUSE_NANOS = 1_000_000_000L;

	/** A caller that reads its response takes a part of it within a round trip. */
	private static final long UNREAD_NANOS = 100_000_000L;

	private volatile State state = State.NEW;

	private volatile long since = System.nanoTime();

	/**
	 * Return the use of a connection.
	 * @param channel the connection
	 * @return its use
	 */
	static ConnectionUse of(Channel channel) {
		ConnectionUse use = channel.attr(KEY).get();
		if (use != null) {
			return use;
		}
		ConnectionUse created = new ConnectionUse();
		ConnectionUse present = channel.attr(KEY).setIfAbsent(created);
		return (present != null) ? present : created;
	}

	/** A complete request is being responded to, or the connection carries streams. */
	void busy() {
		this.state = State.BUSY;
	}

	/** The response was written. */
	void idle() {
		this.since = System.nanoTime();
		this.state = State.IDLE;
	}

	/** The response was written to its end, and the caller has not read all of it. */
	void unread() {
		this.since = System.nanoTime();
		this.state = State.UNREAD;
	}

	/** What the caller sent was refused; the connection is about to be closed. */
	void refused() {
		this.state = State.NEW;
	}

	boolean mayBeClosed(long now) {
		return switch (this.state) {
			case NEW -> true;
			case BUSY -> false;
			case IDLE -> now - this.since >= REUSE_NANOS;
			case UNREAD -> now - this.since >= UNREAD_NANOS;
		};
	}

	/**
	 * Return whether a response would be lost if the connection was closed.
	 * @return whether its caller has not read all of one
	 */
	boolean isUnread() {
		return this.state == State.UNREAD;
	}

	/**
	 * Return for how long the connection has had no complete request.
	 * @param now the time in nanoseconds
	 * @return nanoseconds
	 */
	long idleNanos(long now) {
		return now - this.since;
	}

	private enum State {

		/** No complete request has been received. */
		NEW,

		/** A request is being responded to. */
		BUSY,

		/** The last request was responded to. */
		IDLE,

		/** The last request was responded to, and the caller has not read it. */
		UNREAD

	}

}
