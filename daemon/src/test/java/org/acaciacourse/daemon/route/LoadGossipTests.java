package org.acaciacourse.daemon.route;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.acaciacourse.core.balance.EndpointRests;
import org.acaciacourse.core.balance.LoadPeer;
import org.acaciacourse.core.balance.PlacedRequest;
import org.acaciacourse.core.balance.Placement;
import org.acaciacourse.core.balance.PromptShape;
import org.acaciacourse.core.balance.QueuePosition;
import org.acaciacourse.core.balance.RateLimits;
import org.acaciacourse.core.balance.RoutingMechanism;
import org.acaciacourse.core.balance.RoutingPolicy;
import org.acaciacourse.core.path.EndpointPaths;
import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.daemon.codec.ThriftBytes;
import org.acaciacourse.daemon.inner.InternalConnection;
import org.acaciacourse.protocol.generated.EndpointLoadRecord;
import org.acaciacourse.protocol.generated.LoadDigestRecord;
import org.acaciacourse.protocol.generated.PartUseRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LoadGossipTests {

	private static final Fleet FLEET = Fleet.of(List.of(new FleetEndpoint("i-1", "pool", "127.0.0.1:1", "dc", 4, false),
			new FleetEndpoint("i-2", "pool", "127.0.0.1:2", "dc", 4, false)));

	private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.loops.next();

	@AfterEach
	void stop() {
		this.loops.shutdownGracefully();
	}

	private PoolStates pools() throws Exception {
		PoolStates pools = new PoolStates(this.loop, new RetryBudgetOptions(Duration.ofSeconds(10), 0.2, 10),
				RateLimits.ofSingleVm(), new EndpointRests(""), (instance) -> true);
		onLoop(() -> {
			pools.fleet(FLEET);
			return null;
		});
		return pools;
	}

	private <T> T onLoop(Callable<T> task) throws Exception {
		return this.loop.submit(task).get();
	}

	private CrashGuard guard(PoolStates pools) {
		EndpointPaths paths = new EndpointPaths(new LoadPeer("", ""), LinkLog::new);
		EndpointConnections connections = new EndpointConnections(this.loop, paths, Optional.empty(), () -> false);
		return new CrashGuard(this.loop, connections, pools, (instance) -> false, 0, (feature, crashes) -> {
		});
	}

	private LoadGossip gossip(PoolStates pools) throws Exception {
		LoadGossip gossip = new LoadGossip(this.loop, pools, guard(pools), new LoadPeer("127.0.0.1:0", "dc"));
		onLoop(() -> {
			gossip.start();
			return null;
		});
		// The address is bound by a task that start() adds to the queue of the event
		// loop.
		onLoop(() -> null);
		return gossip;
	}

	private static LoadPeer peer(LoadGossip gossip) {
		return new LoadPeer(InternalConnection.format(gossip.boundAddress()), "dc");
	}

	private void awaitDigest(PoolStates pools) throws Exception {
		while (!onLoop(pools.peers()::hasReports)) {
			LockSupport.parkNanos(1_000_000);
		}
	}

	private static PlacedRequest begin(PoolStates pools, String instance, PromptShape shape) {
		return pools.state("pool")
			.balancer()
			.begin(instance, new Placement(shape, true, false, 0, Set.of()), QueuePosition.BEHIND_OTHERS, 0);
	}

	// An entry VM whose policy disables load digests ignores those of its peers. With the
	// next policy it must use them again, without a restart.
	@Test
	void entryWithDigestsDisabledIgnoresThem() throws Exception {
		PoolStates first = pools();
		PoolStates second = pools();
		LoadGossip sender = gossip(first);
		LoadGossip disabled = gossip(second);
		Set<RoutingMechanism> off = Set.of(RoutingMechanism.LOAD_DIGESTS, RoutingMechanism.PARTS_TOLD);
		PoolStates third = pools();
		LoadGossip receiver = gossip(third);
		onLoop(() -> {
			second.policy(new RoutingPolicy("without-digests", off, Map.of()));
			sender.peers(List.of(peer(disabled), peer(receiver)));
			begin(first, "i-1", PromptShape.NONE);
			return null;
		});
		awaitDigest(third);
		// Both datagrams were sent at once, the one to the disabled entry VM first. What
		// has arrived is read within the next two iterations of the event loop.
		onLoop(() -> null);
		onLoop(() -> null);
		assertThat(onLoop(second.peers()::hasReports)).isFalse();
		onLoop(() -> {
			second.policy(RoutingPolicy.DEFAULT);
			return null;
		});
		awaitDigest(second);
	}

	// An entry VM sends a long prompt to one of two endpoints. Its peer has no requests
	// in flight; without a digest of the first VM, it would choose the busy endpoint
	// every other time.
	@Test
	void peerAvoidsBusyEndpoint() throws Exception {
		PoolStates first = pools();
		PoolStates second = pools();
		LoadGossip sender = gossip(first);
		LoadGossip receiver = gossip(second);
		onLoop(() -> {
			sender.peers(List.of(peer(receiver)));
			begin(first, "i-1", new PromptShape(50_000, 1, List.of()));
			return null;
		});
		awaitDigest(second);
		for (long salt = 0; salt < 20; salt++) {
			Placement placement = new Placement(PromptShape.NONE, false, false, salt, Set.of());
			String chosen = onLoop(
					() -> second.state("pool").balancer().choose(placement, System.nanoTime()).get().instance());
			assertThat(chosen).isEqualTo("i-2");
		}
	}

	// An entry VM had an endpoint read a prompt part. Without a report of that use, its
	// peer would have the part read again at the endpoint of its own choice.
	@Test
	void peerPrefersEndpointThatHoldsPromptPart() throws Exception {
		PoolStates first = pools();
		PoolStates second = pools();
		LoadGossip sender = gossip(first);
		LoadGossip receiver = gossip(second);
		PromptShape prompt = new PromptShape(14_000, 1,
				List.of(new PromptShape.Part(7, 13_000), new PromptShape.Part(8, 1_000)));
		Placement placement = new Placement(prompt, true, false, 1, Set.of());
		Callable<String> choice = () -> second.state("pool")
			.balancer()
			.choose(placement, System.nanoTime())
			.get()
			.instance();
		String other = (onLoop(choice).equals("i-1")) ? "i-2" : "i-1";
		onLoop(() -> {
			begin(first, other, prompt).streamBegan(1);
			sender.peers(List.of(peer(receiver)));
			return null;
		});
		while (!onLoop(choice).equals(other)) {
			LockSupport.parkNanos(1_000_000);
		}
	}

	// Datagrams that another process sends to the port by mistake must not end the event
	// loop that serves all requests.
	@Test
	void invalidDatagramIsIgnored() throws Exception {
		PoolStates pools = pools();
		LoadGossip receiver = gossip(pools);
		try (DatagramSocket socket = new DatagramSocket()) {
			byte[] noise = { 1, 2, 3 };
			LoadDigestRecord damaged = new LoadDigestRecord(1, List.of());
			damaged.setUses(List.of(new PartUseRecord(1, 2, -3)));
			byte[] negative = ThriftBytes.encode(damaged);
			byte[] valid = ThriftBytes.encode(new LoadDigestRecord(2, List.of(new EndpointLoadRecord(5, 1, 9, 0))));
			for (byte[] bytes : List.of(noise, negative, valid)) {
				socket.send(new DatagramPacket(bytes, bytes.length, receiver.boundAddress()));
			}
		}
		awaitDigest(pools);
	}

}
