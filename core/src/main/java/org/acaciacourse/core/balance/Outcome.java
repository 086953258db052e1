package org.acaciacourse.core.balance;

/**
 * What the end of a request tells of its endpoint.
 * <p>
 * Immutable and thread safe.
 */
public enum Outcome {

	/** It answered. */
	GOOD {
		@Override
		void apply(EndpointLoad load, long now) {
			load.succeeded();
		}
	},

	/** It answered with a failure of its own. */
	FAILED {
		@Override
		void apply(EndpointLoad load, long now) {
			load.failed(now);
		}
	},

	/** It could not be reached, broke off or went silent. */
	LOST {
		@Override
		void apply(EndpointLoad load, long now) {
			load.lost(now);
		}
	},

	/** Nobody listens at its address: its process is gone, and what it held. */
	GONE {
		@Override
		void apply(EndpointLoad load, long now) {
			load.lost(now);
			load.prefixCache().clear();
		}
	},

	/** It is full. */
	FULL {
		@Override
		void apply(EndpointLoad load, long now) {
			load.refused(now, Pause.FULL_NANOS);
		}
	},

	/** It is leaving, or another one has its address now. */
	LEAVING {
		@Override
		void apply(EndpointLoad load, long now) {
			load.refused(now, Pause.LEAVING_NANOS);
		}
	},

	/** Nothing: the caller went away, or the time was over. */
	UNKNOWN {
		@Override
		void apply(EndpointLoad load, long now) {
		}
	};

	abstract void apply(EndpointLoad load, long now);

	// Constants of an enum can't be read by its values: they are made first.
	private static final class Pause {

		/** How long an endpoint that said it is full gets nothing new from this VM. */
		private static final long FULL_NANOS = 100_000_000L;

		/** How long one that is leaving gets nothing, until the list says so too. */
		private static final long LEAVING_NANOS = 3_000_000_000L;

		private Pause() {
		}

	}

}
