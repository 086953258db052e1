package org.acaciacourse.daemon.control;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.consensus.ReplicaMessage;
import org.acaciacourse.core.state.Command;
import org.acaciacourse.core.state.CommandResult;
import org.acaciacourse.core.state.ControlState;

/**
 * What other threads hand to the replica's thread.
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
	 * A command to commit.
	 *
	 * @param factory makes it from the state at the time of the proposal
	 * @param result gets the result, or fails with a {@link ControlException}
	 */
	record Propose(CommandFactory factory, CompletableFuture<CommandResult> result) implements LoopEvent {
	}

	/**
	 * A linearizable read.
	 *
	 * @param index gets the entry that has to be applied before the read
	 */
	record Read(CompletableFuture<Long> index) implements LoopEvent {
	}

	/**
	 * A query of the state as it is here.
	 *
	 * @param query the query
	 * @param result gets its result
	 * @param <T> the type of the result
	 */
	record Query<T>(Function<ControlState, T> query, CompletableFuture<T> result) implements LoopEvent {

		void run(ControlState state) {
			this.result.complete(this.query.apply(state));
		}

	}

	/**
	 * An empty replica asks to join.
	 *
	 * @param member the replica
	 * @param accepted gets whether it is noted
	 */
	record Join(Member member, CompletableFuture<Boolean> accepted) implements LoopEvent {
	}

	/**
	 * Hand the leadership over.
	 */
	record Transfer() implements LoopEvent {
	}

	/**
	 * Makes a command from the state in force.
	 */
	@FunctionalInterface
	interface CommandFactory {

		/**
		 * Make the command.
		 * @param state the state, not to be changed
		 * @param now the wall-clock time in milliseconds since the epoch
		 * @return the command
		 */
		Command create(ControlState state, long now);

	}

}
