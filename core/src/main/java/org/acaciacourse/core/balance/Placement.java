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
 * @param brief whether its target is among the shortest of the pool
 * @param salt a hash of the request, which decides between equal endpoints
 * @param excluded the instances that had their turn
 */
public record Placement(PromptShape shape, boolean affinity, boolean brief, long salt, Set<String> excluded) {

	public Placement {
		Objects.requireNonNull(shape, "shape");
		excluded = Set.copyOf(excluded);
	}

}
