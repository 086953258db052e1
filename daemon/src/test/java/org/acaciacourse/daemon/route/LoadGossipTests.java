package org.acaciacourse.daemon.route;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.acaciacourse.core.balance.Placement;
import org.acaciacourse.core.balance.PromptShape;
import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.daemon.inner.InnerConnection;
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
		PoolStates pools = new PoolStates(this.loop, new RetryRule(Duration.ofSeconds(10), 0.2, 10),
				(instance) -> true);
		onLoop(() -> {
			pools.fleet(FLEET);
			return null;
		});
		return pools;
	}

	private <T> T onLoop(Callable<T> task) throws Exception {
		return this.loop.submit(task).get();
	}

	private LoadGossip gossip(PoolStates pools) throws Exception {
		LoadGossip gossip = new LoadGossip(this.loop, pools,
				new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		onLoop(() -> {
			gossip.start();
			return null;
		});
		return gossip;
	}

	// An entry sends a long prompt to one of two endpoints. The other entry has nothing
	// under way; without a word from the first it would send there too every other time.
	@Test
	void otherEntryAvoidsTheEndpointThatIsBusy() throws Exception {
		PoolStates first = pools();
		PoolStates second = pools();
		LoadGossip sender = gossip(first);
		LoadGossip receiver = gossip(second);
		onLoop(() -> {
			sender.peers(List.of(InnerConnection.format(receiver.boundAddress())));
			first.state("pool").balancer().begin("i-1", new PromptShape(50_000, 1, List.of()), System.nanoTime());
			return null;
		});
		while (!onLoop(second.peers()::isTold)) {
			LockSupport.parkNanos(1_000_000);
		}
		for (long salt = 0; salt < 20; salt++) {
			Placement asked = new Placement(PromptShape.NONE, false, false, salt, Set.of());
			String chosen = onLoop(
					() -> second.state("pool").balancer().choose(asked, System.nanoTime()).get().instance());
			assertThat(chosen).isEqualTo("i-2");
		}
	}

}
