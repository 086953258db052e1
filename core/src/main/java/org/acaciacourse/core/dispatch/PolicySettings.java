package org.acaciacourse.core.dispatch;

import org.acaciacourse.core.model.Policy;
import org.acaciacourse.core.model.PolicyParameter;

/**
 * The parameters of a policy, read once when a manifest comes into force.
 * <p>
 * Immutable and thread safe.
 *
 * @param lowestShare the share of the tokens that is guaranteed to the low tier
 * @param choices the number of endpoints with free capacity that are compared
 * @param overcommit how many high requests an endpoint may hold beyond its slots
 * @param staleNanos the age from which a load report is not used
 * @param preemptAfter the share of its target that a middle request waits before it may
 * preempt
 * @param stragglerFactor how many times slower than its peers an endpoint must be to
 * count as a straggler
 * @param prefixBonus the number of slots that a cached prefix is worth
 * @param maxQueued the maximum number of requests that wait for one endpoint set
 * @param maxAttempts the maximum number of attempts of one request
 * @param credits the share of the slots that is divided statically among the VMs, 0 to
 * use load reports instead
 * @param scarce the share of free slots of an endpoint up to which they are divided among
 * the VMs
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
