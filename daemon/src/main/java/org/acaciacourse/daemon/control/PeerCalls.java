package org.acaciacourse.daemon.control;

import java.time.Duration;
import java.util.Optional;

import org.acaciacourse.daemon.inner.InnerConnection;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.TException;

/**
 * Calls another control VM over a connection of its own. Such calls are rare; a fresh
 * connection cannot be one that went silent.
 * <p>
 * Thread safe: it has no state.
 */
final class PeerCalls {

	private static final Logger LOGGER = LogManager.getLogger(PeerCalls.class);

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private PeerCalls() {
	}

	/**
	 * Make a call.
	 * @param <T> the type of the answer
	 * @param address the address of the VM
	 * @param call the call
	 * @return the answer, if there was one in time
	 */
	static <T> Optional<T> call(String address, Call<T> call) {
		try (InnerConnection connection = InnerConnection.open(address, TIMEOUT)) {
			return Optional.of(call.execute(connection));
		}
		catch (TException | RuntimeException ex) {
			LOGGER.debug("no answer from {}", address, ex);
			return Optional.empty();
		}
	}

	/**
	 * A call on a connection.
	 *
	 * @param <T> the type of the answer
	 */
	@FunctionalInterface
	interface Call<T> {

		/**
		 * Make the call.
		 * @param connection the connection
		 * @return the answer
		 * @throws TException if there is none
		 */
		T execute(InnerConnection connection) throws TException;

	}

}
