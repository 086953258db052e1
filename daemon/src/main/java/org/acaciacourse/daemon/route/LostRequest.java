package org.acaciacourse.daemon.route;

import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.core.crash.RequestFeatures;

/**
 * A request that was at an endpoint when its connection broke.
 * <p>
 * Immutable and thread safe.
 *
 * @param features its features
 * @param tookNanos nanoseconds since it was sent
 * @param answeringNanos nanoseconds since the first event of its answer, empty if there
 * was none
 */
record LostRequest(RequestFeatures features, long tookNanos, OptionalLong answeringNanos) {

	/**
	 * An endpoint that goes on with an answer for so long does not crash because of a
	 * part of its prompt.
	 */
	static final long SURVIVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	LostRequest {
		Objects.requireNonNull(features, "features");
	}

	/**
	 * Return whether the endpoint had survived the parts of the prompt before it crashed.
	 * @return whether the answer was in progress for some time
	 */
	boolean hasSurvivedParts() {
		return this.answeringNanos.isPresent() && this.answeringNanos.getAsLong() >= SURVIVAL_NANOS;
	}

	int tookMillis() {
		return (int) TimeUnit.NANOSECONDS.toMillis(this.tookNanos);
	}

}
