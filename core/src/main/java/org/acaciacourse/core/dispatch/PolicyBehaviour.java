package org.acaciacourse.core.dispatch;

import org.acaciacourse.core.model.PolicyKind;
import org.acaciacourse.core.model.Tier;

/**
 * What the kinds of policy do differently: which lane and flow a request waits in, what
 * an endpoint is judged by, and whether tiers and targets count.
 * <p>
 * Immutable and thread safe.
 */
enum PolicyBehaviour {

	/** One queue in order of arrival, endpoints in turn. */
	FIFO {

		@Override
		double cost(EndpointView endpoint, PendingRequest pending, Tuning tuning, int entryCount, long now) {
			return endpoint.lastUse();
		}

	},

	/** One queue in order of arrival, the endpoint with the fewest own requests. */
	LEAST_IN_FLIGHT {

		@Override
		double cost(EndpointView endpoint, PendingRequest pending, Tuning tuning, int entryCount, long now) {
			return endpoint.runs.size();
		}

	},

	/** Tiers, fair shares, targets and corrected load. */
	TIERED {

		@Override
		int lane(Tier tier) {
			return tier.ordinal();
		}

		@Override
		String flow(PendingRequest pending) {
			return pending.flow;
		}

		@Override
		int enginePriority(PendingRequest pending, boolean guaranteed) {
			return (guaranteed) ? Tier.HIGH.enginePriority() : pending.requestClass.tier().enginePriority();
		}

		@Override
		int load(EndpointView endpoint, Tuning tuning, int entryCount, long now) {
			return endpoint.occupancy(tuning, entryCount, now);
		}

		@Override
		boolean hasRoom(EndpointView endpoint, Tuning tuning, int entryCount, long now) {
			return endpoint.hasRoom(tuning, entryCount, now);
		}

		@Override
		double cost(EndpointView endpoint, PendingRequest pending, Tuning tuning, int entryCount, long now) {
			double load = load(endpoint, tuning, entryCount, now) + 1.0;
			load += endpoint.pendingPrompt() / PROMPT_TOKENS_PER_SLOT;
			double bonus = endpoint.holdsPrefix(pending.info.prefixHash()) ? tuning.prefixBonus() : 0;
			return (load - bonus) * endpoint.slowness / endpoint.endpoint.slots();
		}

		@Override
		int choices(Tuning tuning) {
			return tuning.choices();
		}

		@Override
		boolean heedsTargets() {
			return true;
		}

	};

	private static final double PROMPT_TOKENS_PER_SLOT = 1_000;

	static PolicyBehaviour of(PolicyKind kind) {
		return switch (kind) {
			case FIFO -> FIFO;
			case LEAST_IN_FLIGHT -> LEAST_IN_FLIGHT;
			case TIERED -> TIERED;
		};
	}

	// Return the lane of a tier, 0 is served first.
	int lane(Tier tier) {
		return 0;
	}

	// Return the flow within the lane; flows share the lane fairly.
	String flow(PendingRequest pending) {
		return "";
	}

	int enginePriority(PendingRequest pending, boolean guaranteed) {
		return Tier.MIDDLE.enginePriority();
	}

	// Return the load that an endpoint is judged by.
	int load(EndpointView endpoint, Tuning tuning, int entryCount, long now) {
		return endpoint.runs.size();
	}

	boolean hasRoom(EndpointView endpoint, Tuning tuning, int entryCount, long now) {
		return endpoint.runs.size() < endpoint.endpoint.slots();
	}

	// Return how bad an endpoint with room is for a request; the lowest one is taken.
	abstract double cost(EndpointView endpoint, PendingRequest pending, Tuning tuning, int entryCount, long now);

	// Return how many endpoints with room are compared.
	int choices(Tuning tuning) {
		return Integer.MAX_VALUE;
	}

	// Return whether targets, tiers and shares count: refusal of what comes too late,
	// preemption and the guaranteed share.
	boolean heedsTargets() {
		return false;
	}

}
