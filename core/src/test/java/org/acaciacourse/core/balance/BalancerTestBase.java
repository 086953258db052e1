package org.acaciacourse.core.balance;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.acaciacourse.core.route.FleetEndpoint;

/** Fixture of a pool and its balancer. */
abstract class BalancerTestBase {

	static final long SECOND = 1_000_000_000L;

	final PeerLoads peers = new PeerLoads();

	final PoolBalancer balancer = new PoolBalancer(this.peers, (instance) -> true);

	static FleetEndpoint endpoint(String instance, boolean leaving) {
		return new FleetEndpoint(instance, "pool", "127.0.0.1:1", "dc", 64, leaving);
	}

	static List<FleetEndpoint> endpoints(int count) {
		return IntStream.range(0, count).mapToObj((i) -> endpoint("i" + i, false)).toList();
	}

	static PromptShape prompt(long sharedId) {
		return new PromptShape(14_000, 100,
				List.of(new PromptShape.Part(sharedId, 13_000), new PromptShape.Part(-sharedId, 1_000)));
	}

	Optional<String> choose(PromptShape shape, long salt, Set<String> excluded, long now) {
		return this.balancer.choose(new Placement(shape, true, false, salt, excluded), now)
			.map(FleetEndpoint::instance);
	}

	Optional<String> chooseBrief(PromptShape shape, long salt) {
		return this.balancer.choose(new Placement(shape, true, true, salt, Set.of()), 0).map(FleetEndpoint::instance);
	}

	PlacedRequest begin(String instance, PromptShape shape) {
		return begin(this.balancer, instance, shape);
	}

	static PlacedRequest begin(PoolBalancer balancer, String instance, PromptShape shape) {
		return balancer.begin(instance, new Placement(shape, true, false, 0, Set.of()), QueuePosition.BEHIND_OTHERS, 0);
	}

	PlacedRequest beginBrief(String instance) {
		return this.balancer.begin(instance, new Placement(PromptShape.NONE, false, true, 0, Set.of()),
				QueuePosition.BEHIND_OTHERS, 0);
	}

}
