package org.acaciacourse.daemon.tunnel;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import org.acaciacourse.core.path.EndpointLink;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.daemon.inner.SharedKey;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Carries connections of other entry VMs to endpoints: each connection that it accepts
 * names an endpoint, and from then on what either side sends is passed on unread. Only
 * holders of the inner key may open one, and only to listed endpoints. Invariant: both
 * sides of a tunnel are closed together.
 * <p>
 * Not thread safe: belongs to one event loop, apart from {@link #open()}.
 */
public final class TunnelServer {

	private static final Logger logger = LogManager.getLogger(TunnelServer.class);

	/**
	 * Bounds descriptors and memory: more than all requests of an entry VM at its peak.
	 */
	private static final int MAX_CONNECTIONS = 400;

	private static final int BACKLOG = 256;

	private final EventLoop loop;

	private final InetSocketAddress address;

	private final SharedKey key;

	private final Targets targets;

	private final Set<TunnelSession> sessions = ConcurrentHashMap.newKeySet();

	private Optional<Channel> listener = Optional.empty();

	private boolean stopping;

	/**
	 * Create a server.
	 * @param loop the event loop of all its connections
	 * @param address the address to listen on
	 * @param key the key of the inner connections
	 * @param targets the endpoints
	 */
	public TunnelServer(EventLoop loop, InetSocketAddress address, SharedKey key, Targets targets) {
		this.loop = loop;
		this.address = address;
		this.key = key;
		this.targets = targets;
	}

	/** Begin to accept connections. */
	public void start() {
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childHandler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel channel) {
					new TunnelSession(TunnelServer.this, channel).start();
				}

			});
		TcpSockets.apply(bootstrap);
		ChannelFuture bound = bootstrap.bind(this.address);
		this.listener = Optional.of(bound.channel());
		bound.addListener((future) -> {
			if (!future.isSuccess()) {
				logger.error("cannot listen on {} for tunnels of other entry VMs: {}", this.address,
						String.valueOf(future.cause()));
			}
		});
	}

	/** Accept no more connections, and have each open one closed after its request. */
	public void stopAccepting() {
		this.stopping = true;
		this.sessions.forEach(TunnelSession::announceStop);
	}

	/**
	 * Have the open tunnels to an endpoint closed after their requests.
	 * @param instance the endpoint
	 */
	public void stopTunnelsTo(String instance) {
		this.sessions.stream().filter((session) -> session.leadsTo(instance)).forEach(TunnelSession::announceStop);
	}

	/**
	 * Return the number of open tunnels.
	 * @return the number of tunnels
	 */
	public int open() {
		return this.sessions.size();
	}

	/** Close all connections. */
	public void close() {
		this.listener.ifPresent(Channel::close);
		Set.copyOf(this.sessions).forEach(TunnelSession::close);
	}

	EventLoop loop() {
		return this.loop;
	}

	SharedKey key() {
		return this.key;
	}

	Targets targets() {
		return this.targets;
	}

	Optional<TunnelResult> refusal() {
		if (this.stopping) {
			return Optional.of(TunnelResult.STOPPING);
		}
		return (this.sessions.size() >= MAX_CONNECTIONS) ? Optional.of(TunnelResult.BUSY) : Optional.empty();
	}

	void opened(TunnelSession session) {
		this.sessions.add(session);
	}

	void closed(TunnelSession session) {
		this.sessions.remove(session);
	}

	/** The endpoints that tunnels may lead to. */
	public interface Targets {

		/**
		 * Find an endpoint.
		 * @param instance its instance
		 * @return the endpoint if it is listed
		 */
		Optional<FleetEndpoint> find(String instance);

		/**
		 * Return the direct link of this VM to an endpoint.
		 * @param instance its instance
		 * @return the link
		 */
		EndpointLink link(String instance);

		/**
		 * Return whether an endpoint takes requests of this VM.
		 * @param instance its instance
		 * @return whether it neither rests nor is leaving
		 */
		boolean mayGetRequests(String instance);

		/**
		 * Take over what an endpoint stated in a response through a tunnel.
		 * @param statement the statement
		 */
		void stated(EndpointStatement statement);

	}

}
