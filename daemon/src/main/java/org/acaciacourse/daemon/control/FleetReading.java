package org.acaciacourse.daemon.control;

import java.util.Objects;
import java.util.OptionalLong;

import org.acaciacourse.core.route.Fleet;

/**
 * A fleet with the time at which it was read from the platform's list.
 *
 * @param fleet the fleet, {@link Fleet#NONE} if none is known
 * @param readAt when the read began, or an earlier time; empty if that is not known
 */
record FleetReading(Fleet fleet, OptionalLong readAt) {

	static final FleetReading NONE = new FleetReading(Fleet.NONE, OptionalLong.empty());

	FleetReading {
		Objects.requireNonNull(fleet, "fleet");
		Objects.requireNonNull(readAt, "readAt");
	}

}
