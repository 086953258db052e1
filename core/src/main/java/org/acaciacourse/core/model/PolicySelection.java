package org.acaciacourse.core.model;

import java.util.Objects;
import java.util.Optional;

/**
 * The active policy, with an optional second policy that is applied to a percentage of
 * the requests, selected by hash.
 * <p>
 * Immutable and thread safe.
 *
 * @param policy the name of the policy
 * @param split the name of the second policy, if requests are split
 * @param splitPercent the percentage of requests that use the second policy, 0 to 100
 */
public record PolicySelection(String policy, Optional<String> split, int splitPercent) {

	public PolicySelection {
		Objects.requireNonNull(policy, "policy");
		Objects.requireNonNull(split, "split");
		if (splitPercent < 0 || splitPercent > 100) {
			throw new IllegalArgumentException("splitPercent must be between 0 and 100, got " + splitPercent);
		}
	}

	/**
	 * Choose the policy for a request; the same hash always yields the same policy.
	 * @param requestHash a hash of the request
	 * @return the name of the policy
	 */
	public String choose(long requestHash) {
		boolean second = Math.floorMod(requestHash, 100) < this.splitPercent;
		return (second) ? this.split.orElse(this.policy) : this.policy;
	}

}
