package org.acaciacourse.core.admission;

import java.time.Duration;

/**
 * How much of what was learned still holds. Invariant: the weight is 1 at an observation,
 * and 0 from {@link #VALIDITY_NANOS} after the last one, so that an estimate that was too
 * high can't refuse requests for longer.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
final class Freshness {

	/** A burst or the loss of an endpoint lasts for seconds. */
	static final long VALIDITY_NANOS = Duration.ofSeconds(10).toNanos();

	private boolean observed;

	private long observedAt;

	void observed(long now) {
		this.observed = true;
		this.observedAt = now;
	}

	// The weight of what was learned against the default, 0 to 1.
	double weight(long now) {
		if (!this.observed) {
			return 0;
		}
		return Math.max(0, Math.min(1, 1 - (double) (now - this.observedAt) / VALIDITY_NANOS));
	}

}
