package org.acaciacourse.core.balance;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.acaciacourse.core.route.FleetEndpoint;

/**
 * A request that the {@link PoolBalancer} is asked to place.
 * <p>
 * Immutable and thread safe.
 *
 * @param shape the request's prompt
 * @param affinity whether requests with the same shared parts should go to the same
 * endpoint
 * @param brief whether the request is brief, that is, has one of the tightest latency
 * targets of the pool
 * @param salt a hash of the request, which breaks ties between endpoints
 * @param excluded the instances that were tried already
 * @param version the software version of the endpoints that may be chosen, empty for any
 * @param freeSlotOnly whether only endpoints with a free slot may be chosen
 */
public record Placement(PromptShape shape, boolean affinity, boolean brief, long salt, Set<String> excluded,
		Optional<String> version, boolean freeSlotOnly) {

	public Placement {
		Objects.requireNonNull(shape, "shape");
		Objects.requireNonNull(version, "version");
		excluded = Set.copyOf(excluded);
	}

	/**
	 * Create a request that endpoints of any version can serve.
	 * @param shape the request's prompt
	 * @param affinity whether requests with the same shared parts should go to the same
	 * endpoint
	 * @param brief whether the request is brief
	 * @param salt a hash of the request
	 * @param excluded the instances that were tried already
	 */
	public Placement(PromptShape shape, boolean affinity, boolean brief, long salt, Set<String> excluded) {
		this(shape, affinity, brief, salt, excluded, Optional.empty());
	}

	/**
	 * Create a request that needn't wait for a free slot.
	 * @param shape the request's prompt
	 * @param affinity whether requests with the same shared parts should go to the same
	 * endpoint
	 * @param brief whether the request is brief
	 * @param salt a hash of the request
	 * @param excluded the instances that were tried already
	 * @param version the software version of the endpoints that may be chosen
	 */
	public Placement(PromptShape shape, boolean affinity, boolean brief, long salt, Set<String> excluded,
			Optional<String> version) {
		this(shape, affinity, brief, salt, excluded, version, false);
	}

	// Whether an endpoint can serve the request, though it may be busy or leaving.
	boolean isServedBy(FleetEndpoint endpoint) {
		boolean versionFits = this.version.isEmpty() || this.version.equals(endpoint.version());
		return versionFits && !this.excluded.contains(endpoint.instance());
	}

	/**
	 * Return the same request for the endpoints of one version.
	 * @param required the version
	 * @return the request
	 */
	public Placement atVersion(String required) {
		return new Placement(this.shape, this.affinity, this.brief, this.salt, this.excluded, Optional.of(required),
				this.freeSlotOnly);
	}

	/**
	 * Return the same request for other endpoints.
	 * @param instances the instances that must not be chosen
	 * @return the request
	 */
	public Placement excluding(Set<String> instances) {
		return new Placement(this.shape, this.affinity, this.brief, this.salt, instances, this.version,
				this.freeSlotOnly);
	}

	/**
	 * Return the same request for endpoints with a free slot.
	 * @return the request
	 */
	public Placement atFreeSlot() {
		return new Placement(this.shape, this.affinity, this.brief, this.salt, this.excluded, this.version, true);
	}

}
