package org.acaciacourse.daemon.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.vavr.control.Either;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.protocol.generated.Result;

/**
 * Converts futures of the replica's loop and result codes to replies.
 * <p>
 * Thread safe: it has no state.
 */
final class Replies {

	private static final long TIMEOUT_SECONDS = 5;

	private static final long RETRY_MILLIS = 500;

	private Replies() {
	}

	/**
	 * Wait for a future of the replica's loop.
	 * @param <T> the type of its result
	 * @param future the future
	 * @return its result, or the failure
	 */
	static <T> Either<ControlException, T> await(CompletableFuture<T> future) {
		try {
			return Either.right(future.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
		}
		catch (ExecutionException ex) {
			return Either
				.left((ex.getCause() instanceof ControlException known) ? known : failure(ResultCode.INTERNAL));
		}
		catch (TimeoutException ex) {
			return Either.left(failure(ResultCode.OUTCOME_UNKNOWN));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Either.left(failure(ResultCode.OUTCOME_UNKNOWN));
		}
	}

	private static ControlException failure(ResultCode code) {
		return new ControlException(code, Optional.empty());
	}

	/**
	 * Create a result.
	 * @param code its code
	 * @return the struct
	 */
	static Result result(ResultCode code) {
		Result result = new Result(code.number(), (code == ResultCode.OK) ? "" : code.text());
		return (code.isRetryable()) ? result.setRetryAfterMillis(RETRY_MILLIS) : result;
	}

	/**
	 * Create a result that includes the leader's address if it is known.
	 * @param failure why the call was not served
	 * @return the struct
	 */
	static Result result(ControlException failure) {
		Result result = result(failure.code());
		failure.leaderAddress().ifPresent(result::setLeaderAddress);
		return result;
	}

}
