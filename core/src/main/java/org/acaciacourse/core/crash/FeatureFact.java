package org.acaciacourse.core.crash;

import java.util.Objects;

/**
 * What an entry VM has seen of a content and tells the others.
 * <p>
 * Immutable and thread safe.
 *
 * @param kind what was seen
 * @param content a hash of the content
 * @param run where and for how long it ran, {@link Run#NONE} unless it was at an endpoint
 * that crashed
 */
public record FeatureFact(Kind kind, long content, Run run) {

	public FeatureFact {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(run, "run");
	}

	/**
	 * Make the fact that a content was at an endpoint that crashed.
	 * @param content a hash of the content
	 * @param run its run
	 * @return the fact
	 */
	public static FeatureFact crashed(long content, Run run) {
		return new FeatureFact(Kind.CRASHED, content, run);
	}

	/**
	 * Make the fact that an endpoint has run a content to its end.
	 * @param content a hash of the content
	 * @return the fact
	 */
	public static FeatureFact answered(long content) {
		return new FeatureFact(Kind.ANSWERED, content, Run.NONE);
	}

	/**
	 * Make the fact that a content is refused.
	 * @param content a hash of the content
	 * @return the fact
	 */
	public static FeatureFact blocked(long content) {
		return new FeatureFact(Kind.BLOCKED, content, Run.NONE);
	}

	// Written by hand: the generated methods are linked at their first use, which takes
	// some tens of milliseconds while an endpoint has just crashed.
	@Override
	public boolean equals(Object other) {
		return this == other || (other instanceof FeatureFact that && this.kind == that.kind
				&& this.content == that.content && this.run.equals(that.run));
	}

	@Override
	public int hashCode() {
		return 31 * (31 * this.kind.ordinal() + Long.hashCode(this.content)) + this.run.hashCode();
	}

	/** What an entry VM can see of a content. The order is part of the inner protocol. */
	public enum Kind {

		/** It was at an endpoint that crashed. */
		CRASHED,

		/** An endpoint has run it to its end, so that it does not crash endpoints. */
		ANSWERED,

		/** It is refused, as it has crashed several endpoints. */
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
