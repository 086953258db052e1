package org.acaciacourse.core.dispatch;

import org.acaciacourse.core.model.Policy;
import org.acaciacourse.core.model.PolicyParameter;

/**
 * The parameters of a policy, read once when a manifest comes into force.
 * <p>
 * Immutable and thread safe.
 *
 * @param lowestShare the share of the tokens that the low tier is given
 * @param choices how many endpoints with room are compared
 * @param overcommit how many high requests an endpoint may hold beyond its slots
 * @param staleNanos the age from which a load report is not trusted
 * @param preemptAfter the share of its target that a middle request waits before it
 * preempts
 * @param stragglerFactor how much slower than its peers a straggler is
 * @param prefixBonus how many slots a cached prefix is worth
 * @param maxQueued the most requests that wait for one endpoint set
 * @param maxAttempts the most attempts for one request
 * @param credits the share of the slots that each VM takes as its own part
 * @param scarce the share of the slots from which free ones are given out by lot
 */
record PolicySettings(double lowestShare, int choices, int overcommit, long staleNanos, double preemptAfter,
		double stragglerFactor, double prefixBonus, int maxQueued, int maxAttempts, double credits, double scarce) {

	private static final double NANOS_PER_MILLI = 1e6;

	static PolicySettings of(Policy policy) {
		return new PolicySettings(PolicyParameter.LOWEST_SHARE.of(policy), (int) PolicyParameter.CHOICES.of(policy),
				(int) PolicyParameter.OVERCOMMIT.of(policy),
				(long) (PolicyParameter.STALE_AFTER.of(policy) * NANOS_PER_MILLI),
				PolicyParameter.PREEMPT_AFTER.of(policy), PolicyParameter.STRAGGLER_FACTOR.of(policy),
				PolicyParameter.PREFIX_BONUS.of(policy), (int) PolicyParameter.MAX_QUEUED.of(policy),
				(int) PolicyParameter.MAX_ATTEMPTS.of(policy), PolicyParameter.CREDITS.of(policy),
				PolicyParameter.SCARCE.of(policy));
	}

}
