package org.acaciacourse.core.balance;

/**
 * What the end of a request shows about the health of its endpoint.
 * <p>
 * Immutable and thread safe.
 */
public enum Outcome {

	/** The endpoint responded. */
	GOOD {
		@Override
		void apply(EndpointLoad load, long now) {
			load.succeeded();
		}
	},

	/** The endpoint responded with a failure of its own. */
	FAILED {
		@Override
		void apply(EndpointLoad load, long now) {
			load.failed(now);
		}
	},

	/** The endpoint could not be reached, or its connection broke or timed out. */
	LOST {
		@Override
		void apply(EndpointLoad load, long now) {
			load.lost(now);
		}
	},

	/** The connection was refused: the process of the endpoint and its cache are gone. */
	GONE {
		@Override
		void apply(EndpointLoad load, long now) {
			load.lost(now);
			load.prefixCache().clear();
		}
	},

	/** The endpoint is full. */
	FULL {
		@Override
		void apply(EndpointLoad load, long now) {
			load.full(now, Pause.FULL_NANOS);
		}
	},

	/** The endpoint is leaving, or another one has its address now. */
	LEAVING {
		@Override
		void apply(EndpointLoad load, long now) {
			load.refused(now, Pause.LEAVING_NANOS);
		}
	},

	/** Nothing: the caller disconnected, or the deadline passed. */
	UNKNOWN {
		@Override
		void apply(EndpointLoad load, long now) {
		}
	};

	abstract void apply(EndpointLoad load, long now);

	// A separate class because the enum constants are initialized before static fields of
	// the enum.
	private static final class Pause {

		/**
		 * How long this VM sends no new requests to an endpoint that reported being full.
		 */
		private static final long FULL_NANOS = 100_000_000L;

		/**
		 * How long an endpoint that reported to be leaving gets no requests, until the
		 * endpoint list shows it as well.
		 */
		private static final long LEAVING_NANOS = 3_000_000_000L;

		private Pause() {
		}

	}

}
