package org.acaciacourse.daemon.route;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

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
import org.acaciacourse.core.balance.PartUse;
import org.acaciacourse.core.balance.PeerLoads;
import org.acaciacourse.core.balance.PromptShape;
import org.acaciacourse.core.balance.RoutingMechanism;
import org.acaciacourse.daemon.codec.ThriftBytes;
import org.acaciacourse.daemon.inner.InnerConnection;
import org.acaciacourse.protocol.generated.EndpointLoadRecord;
import org.acaciacourse.protocol.generated.LoadDigestRecord;
import org.acaciacourse.protocol.generated.PartUseRecord;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Sends what this VM has under way to the other entry VMs and takes what they send, by
 * datagrams: a late digest is worth nothing, so that one which is lost is not sent again.
 * The more VMs there are the less often each sends, so that what a VM receives is
 * bounded.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class LoadGossip extends SimpleChannelInboundHandler<DatagramPacket> {

	private static final Logger logger = LogManager.getLogger(LoadGossip.class);

	/**
	 * Digests that a VM receives in a second, about as many as the events that it passes
	 * on: each is one wake-up and one read, whatever the number of entries.
	 */
	private static final int RECEIVED_PER_SECOND = 100;

	/** A prompt is read in some hundred milliseconds: more often tells little more. */
	private static final long LEAST_MILLIS = 60;

	private static final long MOST_MILLIS = 500;

	private static final int MAX_LOADS = 60;

	/**
	 * Uses of prompt parts in a digest, which takes less than a packet with them. What is
	 * beyond is not told: the parts are read once more at worst.
	 */
	private static final int MAX_USES = 30;

	private final EventLoop loop;

	private final PoolStates pools;

	private final InetSocketAddress address;

	private Channel channel;

	private List<InetSocketAddress> peers = List.of();

	private List<PeerLoads.Load> sent = List.of();

	// Told twice, as datagrams are lost.
	private List<PartUse> toldOnce = List.of();

	private long sequence = System.currentTimeMillis() * 1_000;

	private long sentAt = System.nanoTime();

	private boolean stopped;

	LoadGossip(EventLoop loop, PoolStates pools, InetSocketAddress address) {
		this.loop = loop;
		this.pools = pools;
		this.address = address;
	}

	/** Begin to send and to take. */
	void start() {
		ChannelFuture bound = new Bootstrap().group(this.loop)
			.channel(NioDatagramChannel.class)
			.handler(this)
			.bind(this.address);
		this.channel = bound.channel();
		bound.addListener((future) -> {
			if (!future.isSuccess()) {
				logger.warn("the load of other entries cannot be received at {}: {}", this.address,
						String.valueOf(future.cause()));
			}
		});
		schedule();
	}

	/**
	 * Set who gets the digests.
	 * @param addresses where the other entries take them
	 */
	void peers(List<String> addresses) {
		this.peers = addresses.stream().map(InnerConnection::parse).toList();
	}

	// The bound address, for those that send here.
	InetSocketAddress boundAddress() {
		return (InetSocketAddress) this.channel.localAddress();
	}

	void stop() {
		this.stopped = true;
		this.channel.close();
	}

	private void schedule() {
		long millis = Math.max(LEAST_MILLIS, 1_000L * this.peers.size() / RECEIVED_PER_SECOND);
		this.loop.schedule(this::tick, millis, TimeUnit.MILLISECONDS);
	}

	private void tick() {
		if (this.stopped) {
			return;
		}
		long now = System.nanoTime();
		this.pools.peers().forgetSilent(now);
		if (!isOn()) {
			schedule();
			return;
		}
		List<PeerLoads.Load> own = this.pools.own();
		boolean due = now - this.sentAt > TimeUnit.MILLISECONDS.toNanos(MOST_MILLIS);
		if (!this.peers.isEmpty() && (due || !own.equals(this.sent))) {
			send(own);
			this.sentAt = now;
		}
		schedule();
	}

	private void send(List<PeerLoads.Load> own) {
		this.sent = own;
		List<EndpointLoadRecord> records = own.stream()
			.limit(MAX_LOADS)
			.map((load) -> new EndpointLoadRecord(load.endpoint(), load.inFlight(), load.waitingWork(), load.brief()))
			.toList();
		LoadDigestRecord digest = new LoadDigestRecord(++this.sequence, records);
		digest.setUses(uses());
		byte[] bytes = ThriftBytes.encode(digest);
		this.peers.forEach((peer) -> this.channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer)));
		this.channel.flush();
	}

	private List<PartUseRecord> uses() {
		List<PartUse> next = this.pools.takeUntoldUses();
		List<PartUseRecord> records = Stream.concat(this.toldOnce.stream(), next.stream())
			.distinct()
			.limit(MAX_USES)
			.map((use) -> new PartUseRecord(use.endpoint(), use.part().id(), use.part().tokens()))
			.toList();
		this.toldOnce = next;
		return records;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
		ThriftBytes.decode(ByteBufUtil.getBytes(packet.content()), new LoadDigestRecord())
			.andThenTry((digest) -> take(packet.sender().toString(), digest))
			.onFailure((ex) -> logger.debug("a datagram from {} is no digest", packet.sender(), ex));
	}

	private boolean isOn() {
		return this.pools.policy().isOn(RoutingMechanism.LOAD_DIGESTS);
	}

	private void take(String sender, LoadDigestRecord digest) {
		if (!isOn()) {
			return;
		}
		List<PeerLoads.Load> loads = digest.getLoads()
			.stream()
			.map((load) -> new PeerLoads.Load(load.getInstance(), load.getInFlight(), load.getWaitingWork(),
					load.getBrief()))
			.toList();
		this.pools.peers().take(sender, digest.getSequence(), loads, System.nanoTime());
		if (digest.isSetUses()) {
			digest.getUses()
				.forEach((use) -> this.pools
					.toldUse(new PartUse(use.getInstance(), new PromptShape.Part(use.getPart(), use.getTokens()))));
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		// A port that nobody listens on shows here; the next list of peers leaves it out.
		logger.debug("a digest was not delivered", cause);
	}

}
