package org.acaciacourse.daemon.route;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.ScheduledFuture;
import org.acaciacourse.core.balance.LoadDigest;
import org.acaciacourse.core.balance.LoadExchange;
import org.acaciacourse.core.balance.LoadPeer;
import org.acaciacourse.core.balance.RoutingMechanism;
import org.acaciacourse.core.balance.RoutingParameter;
import org.acaciacourse.core.code.LogRateLimiter;
import org.acaciacourse.core.crash.FeatureFact;
import org.acaciacourse.core.stream.OriginMessage;
import org.acaciacourse.core.stream.StreamOrigins;
import org.acaciacourse.daemon.codec.LoadDigestCodec;
import org.acaciacourse.daemon.codec.OriginMessageCodec;
import org.acaciacourse.daemon.inner.InternalConnection;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Transports the load digests of {@link LoadExchange} between entry VMs as UDP datagrams.
 * A late digest is of no use, so that lost ones are not sent again. The same socket
 * carries the messages of {@link StreamOrigins}.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class LoadGossip extends SimpleChannelInboundHandler<DatagramPacket> {

	private static final Logger logger = LogManager.getLogger(LoadGossip.class);

	/** A sender of datagrams that are not digests may send many of them. */
	private static final int MAX_DROP_LINES_PER_SECOND = 1;

	/** Bounds the digests that a VM sends while many endpoints crash. */
	private static final long MIN_FACT_INTERVAL_MILLIS = 60;

	private final EventLoop loop;

	private final PoolStates pools;

	private final CrashGuard crashes;

	private final InetSocketAddress address;

	private final LoadExchange exchange;

	private final Map<String, InetSocketAddress> addresses = new HashMap<>();

	private final LogRateLimiter dropLogLimiter = new LogRateLimiter(MAX_DROP_LINES_PER_SECOND, System.nanoTime());

	private BiConsumer<String, OriginMessage> originReceiver = (sender, message) -> {
	};

	private Optional<String> relay = Optional.empty();

	private Channel channel;

	private ScheduledFuture<?> nextTick;

	private long tickedAt = System.nanoTime();

	private boolean stopped;

	LoadGossip(EventLoop loop, PoolStates pools, CrashGuard crashes, LoadPeer self) {
		this.loop = loop;
		this.pools = pools;
		this.crashes = crashes;
		this.address = InternalConnection.parse(self.address());
		// After a restart, sequence numbers start above those sent before.
		this.exchange = new LoadExchange(self, pools.peers(), System.currentTimeMillis() * 1_000, System.nanoTime());
		this.exchange.customers(pools.shares().works());
	}

	/** Begin to send and receive digests. */
	void start() {
		ChannelFuture bound = new Bootstrap().group(this.loop)
			.channel(NioDatagramChannel.class)
			.handler(this)
			.bind(this.address);
		this.channel = bound.channel();
		bound.addListener((future) -> {
			if (!future.isSuccess()) {
				logger.warn("cannot bind {} to receive load digests of other entry VMs: {}", this.address,
						String.valueOf(future.cause()));
			}
		});
		schedule();
	}

	/**
	 * Set which VMs exchange their load.
	 * @param peers the live VMs
	 */
	void peers(List<LoadPeer> peers) {
		this.exchange.peers(peers);
		this.addresses.keySet().retainAll(peers.stream().map(LoadPeer::address).toList());
	}

	/**
	 * Set what receives the messages about the origins of streams.
	 * @param next receives each message with the address of its sender
	 */
	void originReceiver(BiConsumer<String, OriginMessage> next) {
		this.originReceiver = next;
	}

	/**
	 * Send a message about the origins of streams.
	 * @param message the message with its receivers
	 */
	void send(StreamOrigins.Outgoing message) {
		if (this.channel != null) {
			send(OriginMessageCodec.encode(message.message()), message.receivers());
			this.channel.flush();
		}
	}

	// Returns the bound address, to which peers send their digests.
	InetSocketAddress boundAddress() {
		return (InetSocketAddress) this.channel.localAddress();
	}

	void stop() {
		this.stopped = true;
		this.channel.close();
	}

	private void schedule() {
		this.nextTick = this.loop.schedule(this::tick, this.exchange.intervalMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Send facts to the other VMs without waiting for the next digest, which is due only
	 * about once a second with many VMs.
	 * @param facts what this VM has seen
	 */
	void announce(List<FeatureFact> facts) {
		this.exchange.announce(facts, System.nanoTime());
		long sinceTick = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.tickedAt);
		if (this.nextTick != null && this.nextTick.cancel(false)) {
			this.nextTick = this.loop.schedule(this::tick, Math.max(0, MIN_FACT_INTERVAL_MILLIS - sinceTick),
					TimeUnit.MILLISECONDS);
		}
	}

	private void tick() {
		if (this.stopped) {
			return;
		}
		long now = System.nanoTime();
		this.tickedAt = now;
		if (isEnabled()) {
			this.exchange.maxDirectPeers((int) this.pools.policy().value(RoutingParameter.MOST_DIRECT_PEERS));
			this.exchange.limits(this.pools.rateLimits().statements(now));
			this.exchange.tick(this.pools.localLoads(), this.pools.drainUnreportedUses(), now).forEach(this::send);
			this.channel.flush();
			logRelayChange();
		}
		else {
			this.pools.peers().expireSilent(now);
		}
		schedule();
	}

	private void logRelayChange() {
		Optional<String> next = this.exchange.relay();
		if (!next.equals(this.relay)) {
			DecisionLog.write(LogEvent.LOAD_RELAY, next.orElse(""), this.relay.orElse(""));
			this.relay = next;
		}
	}

	private void send(LoadExchange.Outgoing message) {
		send(LoadDigestCodec.encode(message.digest()), message.receivers());
	}

	private void send(byte[] bytes, List<String> receivers) {
		receivers
			.forEach((peer) -> this.channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), resolve(peer))));
	}

	private InetSocketAddress resolve(String peer) {
		return this.addresses.computeIfAbsent(peer, InternalConnection::parse);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
		String sender = InternalConnection.format(packet.sender());
		LoadDigestCodec.decode(ByteBufUtil.getBytes(packet.content()))
			.andThen((datagram) -> datagram.peek((digest) -> receive(sender, digest))
				.peekLeft((message) -> this.originReceiver.accept(sender, message)))
			.onFailure((ex) -> logDropped(packet.sender(), ex));
	}

	private boolean isEnabled() {
		return this.pools.policy().isOn(RoutingMechanism.LOAD_DIGESTS);
	}

	private void receive(String sender, LoadDigest digest) {
		if (!isEnabled()) {
			return;
		}
		if (this.exchange.receive(sender, digest, System.nanoTime())) {
			digest.uses().forEach(this.pools::recordPeerUse);
		}
		digest.facts().forEach(this.crashes::receive);
		digest.limits().forEach((limit) -> this.pools.rateLimits().receive(limit, System.nanoTime()));
	}

	private void logDropped(InetSocketAddress sender, Throwable cause) {
		this.dropLogLimiter.tryAcquire(System.nanoTime())
			.ifPresent(
					(suppressed) -> logger.warn("ignored invalid load digest from {} ({} earlier ones not logged): {}",
							sender, suppressed, String.valueOf(cause)));
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		// Happens when no process listens on the peer's port; the next list of peers
		// leaves that peer out.
		logger.debug("load digest was not delivered", cause);
	}

}
