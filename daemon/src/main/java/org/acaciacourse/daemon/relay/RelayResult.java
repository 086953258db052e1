package org.acaciacourse.daemon.relay;

import java.util.Arrays;
import java.util.Optional;

/**
 * What came of a request to relay a connection. The numbers are part of the inner
 * protocol.
 * <p>
 * Immutable and thread safe.
 */
public enum RelayResult {

	/** The relay has a connection to the endpoint. */
	OPENED(0, false),

	/** The endpoint refused the connection of the relay. */
	REFUSED(1, false),

	/** The relay can't reach the endpoint either. */
	UNREACHABLE(2, false),

	/** The relay does not know the endpoint, or not yet. */
	UNKNOWN_ENDPOINT(3, false),

	/** The relay is stopping. */
	STOPPING(4, true),

	/** The relay has as many connections as it may. */
	BUSY(5, true),

	/** The relay did not answer, or with another key. */
	NO_ANSWER(6, true);

	private final int number;

	private final boolean relayUnusable;

	RelayResult(int number, boolean relayUnusable) {
		this.number = number;
		this.relayUnusable = relayUnusable;
	}

	/**
	 * Find a result by its number.
	 * @param number the number
	 * @return the result, if there is one
	 */
	static Optional<RelayResult> ofNumber(int number) {
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
	 * Return whether the relay can't be used for any endpoint now.
	 * @return whether the reason has nothing to do with the endpoint
	 */
	public boolean isRelayUnusable() {
		return this.relayUnusable;
	}

}
