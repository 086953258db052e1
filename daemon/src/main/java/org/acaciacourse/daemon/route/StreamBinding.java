package org.acaciacourse.daemon.route;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.acaciacourse.core.balance.Placement;
import org.acaciacourse.core.balance.PoolBalancer;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.core.stream.PoolVersions;
import org.acaciacourse.core.stream.StreamKey;
import org.acaciacourse.core.stream.StreamOrigin;

/**
 * Binds the stream of one request to the endpoints that can go on with it: from the start
 * if the caller takes it up, else from the first event that is forwarded. Before that any
 * endpoint can serve the request.
 * <p>
 * Invariant: once there is an origin, it remains the same, but for a version that turns
 * out not to be known.
 * <p>
 * Not thread safe: belongs to the event loop of its request.
 */
final class StreamBinding {

	private final RoutedRequest request;

	private final PoolBalancer balancer;

	private final PoolVersions versions;

	private final StreamOriginService origins;

	private Optional<StreamOrigin> origin;

	/** The stream whose origin the other VMs are told while it is served here. */
	private Optional<StreamKey> told = Optional.empty();

	/**
	 * Create the binding of a request.
	 * @param request the request
	 * @param balancer the balancer of its pool
	 * @param versions the versions of the endpoints
	 * @param origins what the VMs know of streams
	 */
	StreamBinding(RoutedRequest request, PoolBalancer balancer, PoolVersions versions, StreamOriginService origins) {
		this.request = request;
		this.balancer = balancer;
		this.versions = versions;
		this.origins = origins;
		this.origin = request.origin();
	}

	/**
	 * Return where the stream began.
	 * @return the origin, empty before the first event
	 */
	Optional<StreamOrigin> origin() {
		this.told.flatMap(this.origins::known).ifPresent((latest) -> this.origin = Optional.of(latest));
		return this.origin;
	}

	/**
	 * Return whether only some endpoints of the pool can serve the request.
	 * @return whether the caller has a part of its stream
	 */
	boolean isBound() {
		return this.origin.isPresent();
	}

	/**
	 * Return whether no endpoint at all can go on with the stream.
	 * @return whether it is bound to a version that is not known
	 */
	boolean isVersionUnknown() {
		return isBound() && origin().get().version().isEmpty();
	}

	/**
	 * Bind the stream to an endpoint that has written an event, unless it is bound, and
	 * tell the other VMs where it began.
	 * @param endpoint the endpoint
	 */
	void bind(FleetEndpoint endpoint) {
		if (isBound()) {
			return;
		}
		StreamOrigin began = new StreamOrigin(this.request.pool(),
				this.versions.versionOf(endpoint, System.nanoTime()));
		this.origin = Optional.of(began);
		if (this.request.route().resumable()) {
			StreamKey key = this.request.streamKey(this.request.metadata().id());
			this.told = Optional.of(key);
			this.origins.began(key, began, endpoint.instance());
		}
	}

	/** The request has ended. */
	void end() {
		this.told.ifPresent(this.origins::ended);
	}

	/**
	 * Restrict a placement to the endpoints that can serve the request and that were not
	 * tried.
	 * @param placement excludes the endpoints that were tried
	 * @return the same without the endpoints that can't go on with the stream
	 */
	Placement untried(Placement placement) {
		Optional<String> version = origin().flatMap(StreamOrigin::version);
		if (version.isEmpty()) {
			return placement;
		}
		Set<String> excluded = new HashSet<>(placement.excluded());
		excluded.addAll(crashed());
		return placement.atVersion(version.get()).excluding(excluded);
	}

	/**
	 * Restrict a placement to the endpoints that can serve the request. If no untried one
	 * is left, an endpoint that broke the stream off and has not crashed goes on with it.
	 * @param placement excludes the endpoints that were tried
	 * @return the same without the endpoints that can't go on with the stream
	 */
	Placement restrict(Placement placement) {
		Placement untried = untried(placement);
		return (isBound() && this.balancer.isExhausted(untried)) ? untried.excluding(crashed()) : untried;
	}

	private Set<String> crashed() {
		return this.versions.doubtfulInstances(System.nanoTime());
	}

}
