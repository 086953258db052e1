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
		double cost(EndpointView endpoint, PendingRequest pending, PolicySettings settings, int entryCount, long now) {
			return endpoint.lastAttemptId();
		}

	},

	/** One queue in order of arrival, the endpoint with the fewest own requests. */
	LEAST_IN_FLIGHT {

		@Override
		double cost(EndpointView endpoint, PendingRequest pending, PolicySettings settings, int entryCount, long now) {
			return endpoint.attempts.size();
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
		int load(EndpointView endpoint, PolicySettings settings, int entryCount, long now) {
			return endpoint.occupancy(settings, entryCount, now);
		}

		@Override
		boolean hasCapacity(EndpointView endpoint, PolicySettings settings, int entryCount, long now) {
			return endpoint.hasCapacity(settings, entryCount, now);
		}

		@Override
		double cost(EndpointView endpoint, PendingRequest pending, PolicySettings settings, int entryCount, long now) {
			double load = load(endpoint, settings, entryCount, now) + 1.0;
			load += endpoint.pendingPromptTokens() / PROMPT_TOKENS_PER_SLOT;
			double bonus = endpoint.holdsPrefix(pending.info.prefixHash()) ? settings.prefixBonus() : 0;
			return (load - bonus) * endpoint.slowdown / endpoint.definition.slots();
		}

		@Override
		int choices(PolicySettings settings) {
			return settings.choices();
		}

		@Override
		boolean enforcesTargets() {
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
	int load(EndpointView endpoint, PolicySettings settings, int entryCount, long now) {
		return endpoint.attempts.size();
	}

	boolean hasCapacity(EndpointView endpoint, PolicySettings settings, int entryCount, long now) {
		return endpoint.attempts.size() < endpoint.definition.slots();
	}

	// Return how bad an endpoint with room is for a request; the lowest one is taken.
	abstract double cost(EndpointView endpoint, PendingRequest pending, PolicySettings settings, int entryCount,
			long now);

	// Return how many endpoints with room are compared.
	int choices(PolicySettings settings) {
		return Integer.MAX_VALUE;
	}

	// Return whether targets, tiers and shares count: refusal of what comes too late,
	// preemption and the guaranteed share.
	boolean enforcesTargets() {
		return false;
	}

}
