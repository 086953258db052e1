package org.acaciacourse.core.order;

import java.util.Objects;
import java.util.Set;

/**
 * The state that an engine reports.
 * <p>
 * Immutable and thread safe.
 *
 * @param fencingNumber the highest fencing number that it has seen
 * @param loaded the models that it has loaded
 * @param role its role
 */
public record EngineState(long fencingNumber, Set<String> loaded, String role) {

	public EngineState {
		loaded = Set.copyOf(loaded);
		Objects.requireNonNull(role, "role");
	}

}
