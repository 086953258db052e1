package org.acaciacourse.daemon.control;

import java.time.Duration;
import java.util.Optional;

import org.acaciacourse.daemon.inner.InternalConnection;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.TException;

/**
 * Calls another control VM, each time over a new connection. Such calls are rare, and a
 * new connection cannot be a stale one.
 * <p>
 * Thread safe: it has no state.
 */
final class PeerCalls {

	private static final Logger LOGGER = LogManager.getLogger(PeerCalls.class);

	static final Duration TIMEOUT = Duration.ofSeconds(2);

	private PeerCalls() {
	}

	/**
	 * Make a call on a new connection.
	 * @param <T> the type of the response
	 * @param address the address of the VM
	 * @param call the call
	 * @return the response, empty if the call failed or timed out
	 */
	static <T> Optional<T> call(String address, Call<T> call) {
		return call(address, TIMEOUT, call);
	}

	/**
	 * Make a call that may take longer on a new connection.
	 * @param <T> the type of the response
	 * @param address the address of the VM
	 * @param timeout the timeout for the response
	 * @param call the call
	 * @return the response, empty if the call failed or timed out
	 */
	static <T> Optional<T> call(String address, Duration timeout, Call<T> call) {
		try (InternalConnection connection = InternalConnection.open(address, timeout)) {
			return Optional.of(call.execute(connection));
		}
		catch (TException | RuntimeException ex) {
			LOGGER.debug("call to control VM at {} failed", address, ex);
			return Optional.empty();
		}
	}

	/**
	 * A call on a connection.
	 *
	 * @param <T> the type of the response
	 */
	@FunctionalInterface
	interface Call<T> {

		/**
		 * Make the call.
		 * @param connection the connection
		 * @return the response
		 * @throws TException if the call fails
		 */
		T execute(InternalConnection connection) throws TException;

	}

}
