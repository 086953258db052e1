package org.acaciacourse.core.balance;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.core.share.PoolLoad;

/**
 * What holds for all endpoints of one pool together.
 * <p>
 * Not thread safe: belongs to one {@link PoolBalancer}.
 */
final class PoolTotals {

	private final Map<String, EndpointLoad> loads;

	private final PeerLoads peers;

	private final RateLimits rateLimits;

	private final EndpointRests rests;

	PoolTotals(Map<String, EndpointLoad> loads, PeerLoads peers, RateLimits rateLimits, EndpointRests rests) {
		this.loads = loads;
		this.peers = peers;
		this.rateLimits = rateLimits;
		this.rests = rests;
	}

	boolean isExhausted(Placement request) {
		List<FleetEndpoint> staying = this.loads.values()
			.stream()
			.map(EndpointLoad::endpoint)
			.filter((endpoint) -> !endpoint.leaving())
			.toList();
		return !staying.isEmpty() && staying.stream().noneMatch(request::isServedBy);
	}

	Duration restOfAll(Placement request, long now) {
		return this.loads.values()
			.stream()
			.map(EndpointLoad::endpoint)
			.filter((endpoint) -> !endpoint.leaving() && request.isServedBy(endpoint))
			.map((endpoint) -> this.rests.remaining(endpoint.instance(), now))
			.min(Comparator.naturalOrder())
			.orElse(Duration.ZERO);
	}

	OptionalDouble permittedRate(long now) {
		double sum = 0;
		for (EndpointLoad load : this.loads.values()) {
			OptionalDouble share = this.rateLimits.shareOf(load.id(), now);
			if (share.isEmpty() && !load.endpoint().leaving()) {
				return OptionalDouble.empty();
			}
			sum += share.orElse(0);
		}
		return OptionalDouble.of(sum);
	}

	/**
	 * Sum up the load of the usable endpoints. One that is paused because it refused
	 * requests for want of room counts: its slots are taken.
	 * @param workInTarget the work that an endpoint does within the shortest target, 0 if
	 * it isn't known
	 * @param now the time
	 * @return the sums
	 */
	PoolLoad load(double workInTarget, long now) {
		long waiting = 0;
		double inTarget = 0;
		int running = 0;
		int slots = 0;
		for (EndpointLoad load : this.loads.values()) {
			if (!load.endpoint().leaving() && !load.isResting(now) && !load.isLost()) {
				waiting += load.waitingWork();
				inTarget += workInTarget;
				running += load.running(now);
				slots += load.endpoint().slots();
			}
		}
		return new PoolLoad(waiting, inTarget, running, slots, Math.max(0, this.peers.peerCount()) + 1);
	}

}
