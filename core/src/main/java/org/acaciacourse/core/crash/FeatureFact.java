package org.acaciacourse.core.crash;

import java.util.Objects;

/**
 * What an entry VM has seen of a feature of requests and tells the others.
 * <p>
 * Immutable and thread safe.
 *
 * @param kind what was seen
 * @param feature the hash of a content or the id of a part of prompts
 * @param run where and for how long a request with the feature ran, {@link Run#NONE}
 * unless it was at an endpoint that crashed
 * @param ageMillis milliseconds since it was seen
 */
public record FeatureFact(Kind kind, long feature, Run run, long ageMillis) {

	public FeatureFact {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(run, "run");
		if (ageMillis < 0) {
			throw new IllegalArgumentException("negative age of a fact: " + ageMillis + " ms");
		}
	}

	/**
	 * Make the fact that a feature was at an endpoint that has just crashed.
	 * @param feature the feature
	 * @param run the run of the request that had it
	 * @return the fact
	 */
	public static FeatureFact crashed(long feature, Run run) {
		return new FeatureFact(Kind.CRASHED, feature, run, 0);
	}

	/**
	 * Make the fact that an endpoint has survived the feature.
	 * @param feature the feature
	 * @return the fact
	 */
	public static FeatureFact answered(long feature) {
		return new FeatureFact(Kind.ANSWERED, feature, Run.NONE, 0);
	}

	/**
	 * Make the fact that requests with a feature are refused.
	 * @param feature the feature
	 * @return the fact
	 */
	public static FeatureFact blocked(long feature) {
		return new FeatureFact(Kind.BLOCKED, feature, Run.NONE, 0);
	}

	/**
	 * Return the same fact some time later.
	 * @param millis the time in milliseconds
	 * @return the older fact
	 */
	public FeatureFact aged(long millis) {
		return (millis > 0) ? new FeatureFact(this.kind, this.feature, this.run, this.ageMillis + millis) : this;
	}

	/**
	 * Return whether another fact tells the same, whatever their ages are.
	 * @param that the other fact
	 * @return whether it adds nothing
	 */
	public boolean isSameAs(FeatureFact that) {
		return this.kind == that.kind && this.feature == that.feature && this.run.equals(that.run);
	}

	// Written by hand: the generated methods are linked at their first use, which takes
	// some tens of milliseconds while an endpoint has just crashed.
	@Override
	public boolean equals(Object other) {
		return this == other
				|| (other instanceof FeatureFact that && isSameAs(that) && this.ageMillis == that.ageMillis);
	}

	@Override
	public int hashCode() {
		return 31 * (31 * this.kind.ordinal() + Long.hashCode(this.feature)) + this.run.hashCode();
	}

	/** What an entry VM can see of a feature. The order is part of the inner protocol. */
	public enum Kind {

		/** It was at an endpoint that crashed. */
		CRASHED,

		/**
		 * An endpoint has run a content to its end, or has begun an answer on a part and
		 * gone on with it, so that the feature does not crash endpoints.
		 */
		ANSWERED,

		/** Requests with it are refused, as it has crashed several endpoints. */
		BLOCKED

	}

	/**
	 * A run that ended with a crash of its endpoint.
	 *
	 * @param endpoint the id of the endpoint, which is another one after its next start
	 * @param pool the id of its pool
	 * @param poolSize the number of endpoints in the pool
	 * @param millis milliseconds from sending the request to the crash
	 */
	public record Run(int endpoint, int pool, int poolSize, int millis) {

		/** No run. */
		public static final Run NONE = new Run(0, 0, 1, 0);

		public Run {
			if (poolSize < 1 || millis < 0) {
				throw new IllegalArgumentException(
						"invalid run of " + millis + " ms in a pool of " + poolSize + " endpoints");
			}
		}

		@Override
		public boolean equals(Object other) {
			return this == other || (other instanceof Run that && this.endpoint == that.endpoint
					&& this.pool == that.pool && this.poolSize == that.poolSize && this.millis == that.millis);
		}

		@Override
		public int hashCode() {
			return 31 * (31 * (31 * this.endpoint + this.pool) + this.poolSize) + this.millis;
		}

	}

}
