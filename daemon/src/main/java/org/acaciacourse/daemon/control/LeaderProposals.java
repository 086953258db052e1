package org.acaciacourse.daemon.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.consensus.ReplicaStatus.Role;
import org.acaciacourse.core.state.CommandResult;

/**
 * Proposes commands from any control VM: through its own replica if it leads, and by a
 * call to the leader otherwise.
 * <p>
 * Thread safe.
 */
final class LeaderProposals {

	private static final long TIMEOUT_SECONDS = 5;

	private final ReplicaLoop loop;

	private final Executor peerCalls;

	LeaderProposals(ReplicaLoop loop, Executor peerCalls) {
		this.loop = loop;
		this.peerCalls = peerCalls;
	}

	boolean isLeader() {
		return this.loop.views().latest().status().role() == Role.LEADER;
	}

	/**
	 * Propose a command.
	 * @param <T> the type of its result
	 * @param <R> the type of the leader's reply
	 * @param command creates the command on this VM
	 * @param type the type of its result
	 * @param call asks the leader to propose it
	 * @param result reads the leader's reply, empty if the command may have failed
	 * @return the result; fails if the outcome is unknown
	 */
	<T extends CommandResult, R> CompletableFuture<T> propose(LoopEvent.CommandFactory command, Class<T> type,
			PeerCalls.Call<R> call, Function<R, Optional<T>> result) {
		CompletableFuture<T> proposed = (isLeader()) ? this.loop.propose(command).thenApply(type::cast)
				: askLeader(call, result);
		return proposed.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	private <T, R> CompletableFuture<T> askLeader(PeerCalls.Call<R> call, Function<R, Optional<T>> result) {
		Optional<Member> leader = this.loop.views().latest().status().leader();
		if (leader.isEmpty()) {
			return CompletableFuture.failedFuture(new ControlException(ResultCode.NO_QUORUM, Optional.empty()));
		}
		return CompletableFuture.supplyAsync(
				() -> PeerCalls.call(leader.get().address(), call)
					.flatMap(result)
					.orElseThrow(() -> new ControlException(ResultCode.OUTCOME_UNKNOWN, Optional.empty())),
				this.peerCalls);
	}

}
