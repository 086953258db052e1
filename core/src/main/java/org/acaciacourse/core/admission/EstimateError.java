package org.acaciacourse.core.admission;

/**
 * The error of estimated times, learned from the ratio of the actual time to the
 * estimate: its mean corrects later estimates, and its spread gives their margin. Both
 * return to their defaults without observations.
 * <p>
 * Invariants: the correction lies within a factor of {@link #MAX_CORRECTION} and the
 * margin between {@link #MIN_MARGIN} and {@link #MAX_MARGIN}, whatever is observed.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
final class EstimateError {

	/**
	 * Shorter times are determined by batch steps and connections rather than by waiting
	 * work, and no deadline depends on them.
	 */
	static final long MIN_NANOS = 100_000_000L;

	/** Pauses, lost endpoints and stalls must not make all estimates useless. */
	static final double MAX_CORRECTION = 2;

	/** Work of other entry VMs is known late, however well the estimates were met. */
	static final double MIN_MARGIN = 1.1;

	/**
	 * A deadline is several times as long as the target: with this margin, requests that
	 * can be on time are still sent. Endpoints of different speeds alone would give 2.
	 */
	static final double MAX_MARGIN = 1.5;

	/** Two deviations leave 2.3% of normally distributed errors outside the margin. */
	private static final double DEVIATIONS = 2;

	/** Gives a margin of 1.25 before there are observations. */
	private static final double DEFAULT_DEVIATION = 0.11;

	/**
	 * A burst changes the error within a second, in which a VM observes a few requests.
	 */
	private static final double MIN_WEIGHT = 0.1;

	/** A single observation says little of the spread. */
	private static final double MAX_WEIGHT = 0.5;

	private static final double MAX_LOG = Math.log(MAX_CORRECTION);

	private final Freshness freshness = new Freshness();

	private double mean;

	private double variance = DEFAULT_DEVIATION * DEFAULT_DEVIATION;

	/**
	 * Record the actual time of a request.
	 * @param estimate nanoseconds as estimated, without correction
	 * @param actual nanoseconds
	 * @param now the time
	 */
	void observe(long estimate, long actual, long now) {
		if (estimate < MIN_NANOS && actual < MIN_NANOS) {
			return;
		}
		double log = Math.log((double) Math.max(MIN_NANOS, actual) / Math.max(MIN_NANOS, estimate));
		double bounded = Math.max(-MAX_LOG, Math.min(MAX_LOG, log));
		// The older what was learned, the more the new observation counts.
		double weight = Math.max(MIN_WEIGHT, Math.min(MAX_WEIGHT, 1 - this.freshness.weight(now)));
		double difference = bounded - this.mean;
		this.mean += weight * difference;
		this.variance = (1 - weight) * (this.variance + weight * difference * difference);
		this.freshness.observed(now);
	}

	/**
	 * Record that a request ended without an answer. Otherwise only requests that were
	 * answered in time would count, and an overload would look as if estimates were met.
	 * @param estimate nanoseconds as estimated, without correction
	 * @param elapsed nanoseconds that it waited at least
	 * @param now the time
	 */
	void observeAtLeast(long estimate, long elapsed, long now) {
		if (elapsed > estimate * correction(now)) {
			observe(estimate, elapsed, now);
		}
	}

	/**
	 * Return by which factor estimates are to be corrected.
	 * @param now the time
	 * @return the factor, 1 without observations
	 */
	double correction(long now) {
		return Math.exp(this.mean * this.freshness.weight(now));
	}

	/**
	 * Return the factor by which a corrected estimate is rarely exceeded.
	 * @param now the time
	 * @return the factor
	 */
	double margin(long now) {
		double margin = Math.exp(DEVIATIONS * deviation(this.freshness.weight(now)));
		return Math.max(MIN_MARGIN, Math.min(MAX_MARGIN, margin));
	}

	private double deviation(double fresh) {
		return fresh * Math.sqrt(this.variance) + (1 - fresh) * DEFAULT_DEVIATION;
	}

}
