package org.acaciacourse.daemon.route;

import java.time.Duration;
import java.util.Set;

import org.acaciacourse.core.balance.Placement;
import org.acaciacourse.core.balance.QueuePosition;
import org.acaciacourse.core.balance.RoutingParameter;
import org.acaciacourse.core.route.FleetEndpoint;

/**
 * What one routed request asks of the endpoints of its pool: which of them it may use,
 * how long it waits for one, its position in the queue there, and when its caller is to
 * retry if it gets none.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class RequestPlacement {

	private final RoutedRequest request;

	private final PoolStates pools;

	private final PoolStates.State pool;

	private final StreamBinding binding;

	private final long startedAt;

	private final boolean brief;

	private final RequestAdmission admission;

	private final RequestShare share;

	private final PlacementWait wait = new PlacementWait();

	/**
	 * Create the placement of a request.
	 * @param context the objects that all requests of the VM share
	 * @param request the request
	 * @param binding the version that its stream is bound to
	 * @param startedAt when the request was read
	 * @param deadlineAt until when its caller waits
	 */
	RequestPlacement(RouteContext context, RoutedRequest request, StreamBinding binding, long startedAt,
			long deadlineAt) {
		this.request = request;
		this.pools = context.pools();
		this.pool = this.pools.state(request.pool());
		this.binding = binding;
		this.startedAt = startedAt;
		this.admission = new RequestAdmission(context, request, startedAt, deadlineAt);
		this.share = new RequestShare(context, request);
		this.brief = this.pool.isBrief(request.route().target(),
				this.pools.policy().value(RoutingParameter.NEARLY_SHORTEST));
	}

	// What the request takes of its customer's share of the pool.
	RequestShare share() {
		return this.share;
	}

	/**
	 * Return what the request asks for now.
	 * @param tried the instances that it was sent to
	 * @return the request for an endpoint
	 */
	Placement wanted(Set<String> tried) {
		Placement unrestricted = unrestricted(tried);
		return this.binding.restrict((this.share.needsFreeSlot()) ? unrestricted.atFreeSlot() : unrestricted);
	}

	private Placement unrestricted(Set<String> tried) {
		return new Placement(this.request.metadata().prompt(), this.request.route().affinity(), this.brief,
				this.request.idHash(), tried);
	}

	/**
	 * Return whether another endpoint could take the request now.
	 * @param tried the instances that it was sent to
	 * @param now the time
	 * @return whether there is one
	 */
	boolean hasUntriedEndpoint(Set<String> tried, long now) {
		return this.pool.balancer().choose(this.binding.untried(unrestricted(tried)), now).isPresent();
	}

	/**
	 * Return the admission of the request.
	 * @return decides whether it is sent
	 */
	RequestAdmission admission() {
		return this.admission;
	}

	/** An endpoint was found. */
	void found() {
		this.wait.end();
	}

	/**
	 * Return whether a request that could not be placed has waited too long, or would
	 * have to.
	 * @param wanted what it asks for
	 * @param now the time
	 * @return whether it must not wait any longer
	 */
	boolean isWaitTooLong(Placement wanted, long now) {
		Duration target = this.request.route().target();
		if (this.share.needsFreeSlot() && hasUntriedEndpoint(wanted.excluded(), now)) {
			// Others may need less until then. After that its caller is told when to
			// retry, rather than held until its deadline.
			return this.wait.isLongerThan(now, target);
		}
		boolean tooLong = this.wait.isTooLong(now, target, this.pools.fleet().revision() != 0);
		return tooLong || this.wait.isTooLong(this.pool.balancer().restOfAll(wanted, now), target);
	}

	/**
	 * Return the delay for a retry of a request that no endpoint takes; the request is
	 * still queued.
	 * @param now the time
	 * @return the time until the queue and the endpoints permit it
	 */
	Duration retryDelayBehindQueue(long now) {
		Duration behindQueue = this.admission.retryDelay(wanted(Set.of()), now)
			.orElseGet(() -> RetryDelay.behindQueue(this.request.idHash(), this.pool.queue().size(),
					this.pool.balancer().permittedRate(now)));
		Duration afterRest = retryDelay(now);
		return (behindQueue.compareTo(afterRest) > 0) ? behindQueue : afterRest;
	}

	/**
	 * Return the delay for a retry of the caller, which may use the endpoints that this
	 * request has tried.
	 * @param now the time
	 * @return the time until an endpoint takes requests
	 */
	Duration retryDelay(long now) {
		return RetryDelay.afterRest(this.request.idHash(), this.pool.balancer().restOfAll(wanted(Set.of()), now));
	}

	/**
	 * Return the position of the request in the queue of an endpoint. A request that
	 * would be late in any case is deferred at its engine behind those that can still be
	 * in time. Otherwise, all requests would be late in an overload, each by as much as
	 * the callers tolerate.
	 * @param endpoint the endpoint
	 * @param now the time
	 * @return the position
	 */
	QueuePosition queuePosition(FleetEndpoint endpoint, long now) {
		if (this.share.isOverShareAtEngine()) {
			return QueuePosition.OVER_SHARE;
		}
		if (this.request.deferredUrgency().isEmpty()) {
			return QueuePosition.OVERTAKES_OTHERS;
		}
		long left = this.startedAt + this.request.route().target().toNanos() - now;
		boolean late = this.pool.balancer().isLate(endpoint.instance(), this.request.metadata().prompt(), left);
		return (late) ? QueuePosition.DEFERRED : QueuePosition.BEHIND_OTHERS;
	}

	/**
	 * Return the rank of the request at an engine.
	 * @param position its position in the queue there
	 * @return the rank, 0 is the highest
	 */
	int urgency(QueuePosition position) {
		return switch (position) {
			case DEFERRED -> this.request.deferredUrgency().orElseThrow();
			case OVER_SHARE -> this.request.overShareUrgency().orElseThrow();
			case OVERTAKES_OTHERS, BEHIND_OTHERS -> this.request.urgency();
		};
	}

}
