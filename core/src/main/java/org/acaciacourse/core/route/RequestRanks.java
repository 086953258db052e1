package org.acaciacourse.core.route;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * The ranks that a request may have at an engine; 0 is the highest.
 * <p>
 * Immutable and thread safe.
 *
 * @param regular its usual rank
 * @param deferred its rank if it will miss its target in any case, if it can be deferred
 * @param overShare its rank if it is over its customer's share, if there is one
 */
public record RequestRanks(int regular, OptionalInt deferred, OptionalInt overShare) {

	public RequestRanks {
		Objects.requireNonNull(deferred, "deferred");
		Objects.requireNonNull(overShare, "overShare");
	}

	/**
	 * Create the ranks of a request whose customer has no share.
	 * @param regular its usual rank
	 * @param deferred its rank if it will miss its target in any case
	 */
	public RequestRanks(int regular, OptionalInt deferred) {
		this(regular, deferred, OptionalInt.empty());
	}

}
