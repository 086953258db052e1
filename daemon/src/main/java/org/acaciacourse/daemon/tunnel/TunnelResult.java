package org.acaciacourse.daemon.tunnel;

import java.util.Arrays;
import java.util.Optional;

/**
 * What came of a request for a tunnel. The numbers are part of the inner protocol.
 * <p>
 * Immutable and thread safe.
 */
public enum TunnelResult {

	/** The server has a connection to the endpoint. */
	OPENED(0, false),

	/** The endpoint refused the connection of the server. */
	REFUSED(1, false),

	/** The server can't reach the endpoint either. */
	UNREACHABLE(2, false),

	/** The server does not know the endpoint, or not yet. */
	UNKNOWN_ENDPOINT(3, false),

	/** The server is stopping. */
	STOPPING(4, true),

	/** The server has as many tunnels as it may. */
	BUSY(5, true),

	/** The server did not answer, or expects another key. */
	NO_ANSWER(6, true),

	/** The server keeps what its client told it of the endpoint. */
	NOTED(7, false);

	private final int number;

	private final boolean peerUnusable;

	TunnelResult(int number, boolean peerUnusable) {
		this.number = number;
		this.peerUnusable = peerUnusable;
	}

	/**
	 * Find a result by its number.
	 * @param number the number
	 * @return the result, if there is one
	 */
	static Optional<TunnelResult> ofNumber(int number) {
		return Arrays.stream(values()).filter((result) -> result.number == number).findFirst();
	}

	/**
	 * Return the number in the inner protocol.
	 * @return the number
	 */
	int number() {
		return this.number;
	}

	/**
	 * Return whether the server can't be used for any endpoint now.
	 * @return whether the reason has nothing to do with the endpoint
	 */
	public boolean isPeerUnusable() {
		return this.peerUnusable;
	}

}
