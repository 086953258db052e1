package org.acaciacourse.daemon.link;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.daemon.inner.InnerConnection;
import org.acaciacourse.protocol.generated.ControlService;
import org.acaciacourse.protocol.generated.Result;
import org.apache.thrift.TException;

/**
 * Calls the leader: follows redirects, tries the next control VM when one is silent, and
 * replaces a connection after any failure. A call may have taken effect although it
 * failed, so only calls that are idempotent belong here.
 * <p>
 * Not thread safe: one thread calls it.
 */
public final class LeaderCaller implements AutoCloseable {

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

	private static final long RETRY_DELAY_MILLIS = 100;

	private final List<String> addresses;

	private int nextIndex;

	private String address;

	private Optional<InnerConnection> connection = Optional.empty();

	/**
	 * Make a caller.
	 * @param addresses the addresses of the control VMs, at least one
	 */
	public LeaderCaller(List<String> addresses) {
		this.addresses = List.copyOf(addresses);
		this.address = this.addresses.get(0);
	}

	/**
	 * Call until the leader answers or the time is over.
	 * @param <T> the type of the answer
	 * @param call the call
	 * @param resultOf finds the result in an answer
	 * @param timeout the time for all attempts
	 * @return the answer, the last refusal if there was no other, or nothing
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
				this.connection = Optional.of(InnerConnection.open(this.address, CALL_TIMEOUT));
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
		this.connection.ifPresent(InnerConnection::close);
		this.connection = Optional.empty();
	}

	/**
	 * A call on a connection.
	 *
	 * @param <T> the type of the answer
	 */
	@FunctionalInterface
	public interface Call<T> {

		/**
		 * Make the call.
		 * @param client the service
		 * @return the answer
		 * @throws TException if there is none
		 */
		T execute(ControlService.Iface client) throws TException;

	}

}
