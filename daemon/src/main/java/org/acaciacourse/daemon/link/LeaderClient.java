package org.acaciacourse.daemon.link;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.daemon.inner.InternalConnection;
import org.acaciacourse.protocol.generated.ControlService;
import org.acaciacourse.protocol.generated.Result;
import org.apache.thrift.TException;

/**
 * A client of the leader: follows redirects, tries the next control VM if one does not
 * respond, and replaces a connection after any failure. A failed call may still have
 * taken effect, so only idempotent calls may be made through it.
 * <p>
 * Not thread safe: used by one thread only.
 */
public final class LeaderClient implements AutoCloseable {

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

	private static final long RETRY_DELAY_MILLIS = 100;

	private final List<String> addresses;

	private int nextIndex;

	private String address;

	private Optional<InternalConnection> connection = Optional.empty();

	/**
	 * Create a client.
	 * @param addresses the addresses of the control VMs, at least one
	 */
	public LeaderClient(List<String> addresses) {
		this.addresses = List.copyOf(addresses);
		this.address = this.addresses.get(0);
	}

	/**
	 * Retry a call until the leader responds or the timeout expires.
	 * @param <T> the type of the response
	 * @param call the call
	 * @param resultOf extracts the result from a response
	 * @param timeout the time limit for all attempts
	 * @return the response, or the last refusal, or empty if no control VM responded
	 * @throws InterruptedException if the thread is interrupted
	 */
	public <T> Optional<T> call(Call<T> call, Function<T, Result> resultOf, Duration timeout)
			throws InterruptedException {
		long deadline = System.nanoTime() + timeout.toNanos();
		Optional<T> lastResponse = Optional.empty();
		do {
			Optional<T> response = attempt(call);
			if (response.isPresent()) {
				lastResponse = response;
				if (isFinal(resultOf.apply(response.get()))) {
					return response;
				}
			}
			switchAddress(response.map(resultOf));
		}
		while (System.nanoTime() < deadline);
		return lastResponse;
	}

	private static boolean isFinal(Result result) {
		return result.getCode() != ResultCode.NO_QUORUM.number()
				&& result.getCode() != ResultCode.OUTCOME_UNKNOWN.number();
	}

	private <T> Optional<T> attempt(Call<T> call) {
		try {
			if (this.connection.isEmpty()) {
				this.connection = Optional.of(InternalConnection.open(this.address, CALL_TIMEOUT));
			}
			return Optional.of(call.execute(this.connection.get().control()));
		}
		catch (TException | RuntimeException ex) {
			close();
			return Optional.empty();
		}
	}

	private void switchAddress(Optional<Result> refusal) throws InterruptedException {
		Optional<String> leader = refusal.filter(Result::isSetLeaderAddress).map(Result::getLeaderAddress);
		close();
		if (leader.isPresent() && !leader.get().equals(this.address)) {
			this.address = leader.get();
			return;
		}
		this.nextIndex = (this.nextIndex + 1) % this.addresses.size();
		this.address = this.addresses.get(this.nextIndex);
		Thread.sleep(RETRY_DELAY_MILLIS);
	}

	@Override
	public void close() {
		this.connection.ifPresent(InternalConnection::close);
		this.connection = Optional.empty();
	}

	/**
	 * A call over a connection.
	 *
	 * @param <T> the type of the response
	 */
	@FunctionalInterface
	public interface Call<T> {

		/**
		 * Make the call.
		 * @param client the service
		 * @return the response
		 * @throws TException if the call failed
		 */
		T execute(ControlService.Iface client) throws TException;

	}

}
