package org.acaciacourse.core.balance;

import java.util.Objects;
import java.util.Set;

/**
 * What a request asks of the {@link PoolBalancer}.
 * <p>
 * Immutable and thread safe.
 *
 * @param shape the request's prompt
 * @param affinity whether requests with the same shared parts belong together
 * @param salt a hash of the request, which decides between equal endpoints
 * @param without the instances that had their turn
 * @param patience where it may go by now
 */
public record Placement(PromptShape shape, boolean affinity, long salt, Set<String> without, Patience patience) {

	public Placement {
		Objects.requireNonNull(shape, "shape");
		Objects.requireNonNull(patience, "patience");
		without = Set.copyOf(without);
	}

	/**
	 * Where a request may go. An engine reads prompts one after the other, so that a
	 * short request which comes behind long ones misses its target however urgent it is.
	 * So long prompts wait at the entry, where the order can still change, until an
	 * engine has little left to read.
	 */
	public enum Patience {

		/** Only to an endpoint that holds the shared part and has room. */
		HOLDER,

		/** To any endpoint that has room. */
		ROOM,

		/** To any endpoint. */
		NONE;

		boolean permits(boolean holder, boolean room) {
			return switch (this) {
				case HOLDER -> holder && room;
				case ROOM -> room;
				case NONE -> true;
			};
		}

	}

}
