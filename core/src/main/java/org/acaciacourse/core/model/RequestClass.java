package org.acaciacourse.core.model;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * A class of requests with its tier, latency target and permitted endpoint sets.
 * <p>
 * Immutable and thread safe.
 *
 * @param name the unique name
 * @param tier the service tier
 * @param target the latency target
 * @param deadline the maximum time from the arrival to the end of the response
 * @param preemptible whether a running request may be preempted by a higher tier
 * @param endpointSets the names of the endpoint sets it may use, preferred first
 */
public record RequestClass(String name, Tier tier, LatencyTarget target, Duration deadline, boolean preemptible,
		List<String> endpointSets) {

	public RequestClass {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(tier, "tier");
		Objects.requireNonNull(target, "target");
		if (deadline.compareTo(target.limit()) < 0) {
			throw new IllegalArgumentException(
					"deadline " + deadline + " is shorter than the latency target " + target.limit());
		}
		if (preemptible && tier == Tier.HIGH) {
			throw new IllegalArgumentException("a request class of the high tier cannot be preemptible");
		}
		endpointSets = List.copyOf(endpointSets);
	}

}
