package org.acaciacourse.daemon.control;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.consensus.ReplicaMessage;
import org.acaciacourse.core.state.Command;
import org.acaciacourse.core.state.CommandResult;
import org.acaciacourse.core.state.ControlState;

/**
 * An event that other threads queue for the replica's thread.
 * <p>
 * Immutable and thread safe.
 */
sealed interface LoopEvent {

	/**
	 * A message from another replica.
	 *
	 * @param message the message
	 */
	record Received(ReplicaMessage message) implements LoopEvent {
	}

	/**
	 * A command to propose and commit.
	 *
	 * @param factory creates the command from the state at the time of the proposal
	 * @param result completes with the result, or fails with a {@link ControlException}
	 */
	record Propose(CommandFactory factory, CompletableFuture<CommandResult> result) implements LoopEvent {
	}

	/**
	 * A linearizable read.
	 *
	 * @param index completes with the index that must be applied before the read
	 */
	record Read(CompletableFuture<Long> index) implements LoopEvent {
	}

	/**
	 * A query of the local state, which may lag behind the leader's.
	 *
	 * @param query the query
	 * @param result completes with the result of the query
	 * @param <T> the type of the result
	 */
	record Query<T>(Function<ControlState, T> query, CompletableFuture<T> result) implements LoopEvent {

		void run(ControlState state) {
			this.result.complete(this.query.apply(state));
		}

	}

	/**
	 * A request to join, from a replica that is not a member.
	 *
	 * @param member the replica
	 * @param accepted completes with whether the request was recorded
	 */
	record Join(Member member, CompletableFuture<Boolean> accepted) implements LoopEvent {
	}

	/**
	 * A request to transfer the leadership to another replica.
	 */
	record Transfer() implements LoopEvent {
	}

	/**
	 * Creates a command from the current state.
	 */
	@FunctionalInterface
	interface CommandFactory {

		/**
		 * Create the command.
		 * @param state the state, which must not be changed
		 * @param now the wall-clock time in milliseconds since the epoch
		 * @return the command
		 */
		Command create(ControlState state, long now);

	}

}
