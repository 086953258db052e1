package org.acaciacourse.daemon.route;

import java.util.List;
import java.util.OptionalLong;

/**
 * A request that was at an endpoint when its connection broke.
 * <p>
 * Immutable and thread safe.
 *
 * @param content a hash of its content
 * @param parts the ids of the parts of its prompt that other requests may have, too
 * @param tookNanos nanoseconds since it was sent
 * @param answeringNanos nanoseconds since the first event of its answer, empty if there
 * was none
 */
record LostRequest(long content, List<Long> parts, long tookNanos, OptionalLong answeringNanos) {

	LostRequest {
		parts = List.copyOf(parts);
	}

	boolean isAnswered() {
		return this.answeringNanos.isPresent();
	}

}
