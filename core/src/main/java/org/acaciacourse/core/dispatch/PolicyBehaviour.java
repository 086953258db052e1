package org.acaciacourse.core.dispatch;

import org.acaciacourse.core.model.PolicyKind;
import org.acaciacourse.core.model.Tier;

/**
 * The differences between the kinds of policy: the lane and flow that a request waits in,
 * the cost of an endpoint, and whether tiers and targets are enforced.
 * <p>
 * Immutable and thread safe.
 */
enum PolicyBehaviour {

	/** One queue in order of arrival; endpoints in round-robin order. */
	FIFO {

		@Override
		double cost(EndpointView endpoint, PendingRequest pending, PolicySettings settings, int entryCount, long now) {
			return endpoint.lastAttemptId();
		}

	},

	/** One queue in order of arrival; the endpoint with the fewest own attempts. */
	LEAST_IN_FLIGHT {

		@Override
		double cost(EndpointView endpoint, PendingRequest pending, PolicySettings settings, int entryCount, long now) {
			return endpoint.attempts.size();
		}

	},

	/** Tiers, fair shares, latency targets and corrected load estimates. */
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

	// Returns the lane of a tier; lane 0 is served first.
	int lane(Tier tier) {
		return 0;
	}

	// Returns the flow within the lane; flows share the lane fairly.
	String flow(PendingRequest pending) {
		return "";
	}

	int enginePriority(PendingRequest pending, boolean guaranteed) {
		return Tier.MIDDLE.enginePriority();
	}

	// Returns the load used to compare endpoints.
	int load(EndpointView endpoint, PolicySettings settings, int entryCount, long now) {
		return endpoint.attempts.size();
	}

	boolean hasCapacity(EndpointView endpoint, PolicySettings settings, int entryCount, long now) {
		return endpoint.attempts.size() < endpoint.definition.slots();
	}

	// Returns the cost of an endpoint with free capacity for a request; the cheapest is
	// selected.
	abstract double cost(EndpointView endpoint, PendingRequest pending, PolicySettings settings, int entryCount,
			long now);

	// Returns how many endpoints with free capacity are compared.
	int choices(PolicySettings settings) {
		return Integer.MAX_VALUE;
	}

	// Returns whether targets, tiers and shares are enforced: refusal of requests that
	// cannot meet their target, preemption and the guaranteed share.
	boolean enforcesTargets() {
		return false;
	}

}
