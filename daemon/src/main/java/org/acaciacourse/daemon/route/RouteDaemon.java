package org.acaciacourse.daemon.route;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.acaciacourse.core.balance.EndpointRests;
import org.acaciacourse.core.balance.LoadPeer;
import org.acaciacourse.core.balance.RateLimits;
import org.acaciacourse.core.balance.RoutingMechanism;
import org.acaciacourse.core.balance.RoutingPolicy;
import org.acaciacourse.core.balance.StallDetector;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.EndpointStatus;
import org.acaciacourse.core.memory.MemoryBudget;
import org.acaciacourse.core.model.Manifest;
import org.acaciacourse.core.path.EndpointLink;
import org.acaciacourse.core.path.EndpointPaths;
import org.acaciacourse.core.route.CallerLimits;
import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.route.FleetEndpoint;
import org.acaciacourse.core.route.RouteTable;
import org.acaciacourse.daemon.admin.AdminServer;
import org.acaciacourse.daemon.cli.StopWait;
import org.acaciacourse.daemon.http.CallerRequest;
import org.acaciacourse.daemon.http.CallerResponse;
import org.acaciacourse.daemon.http.HttpLimits;
import org.acaciacourse.daemon.http.NettyHttpServer;
import org.acaciacourse.daemon.http.RequestHandler;
import org.acaciacourse.daemon.inner.InternalConnection;
import org.acaciacourse.daemon.link.ControlLink;
import org.acaciacourse.daemon.memory.MemoryMetrics;
import org.acaciacourse.daemon.memory.ResponseMemory;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;
import org.acaciacourse.daemon.tunnel.EndpointStatement;
import org.acaciacourse.daemon.tunnel.TunnelServer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The daemon of an entry VM for routed requests. One event loop serves callers, endpoints
 * and routing decisions: on a VM with less than one core, a hand-over between threads
 * costs more than the work that it would share. The link to control and the fleet
 * fallback have threads of their own.
 * <p>
 * Thread safe. Started once and stopped once.
 */
public final class RouteDaemon {

	private static final Logger logger = LogManager.getLogger(RouteDaemon.class);

	private static final long SWEEP_INTERVAL_MILLIS = 1_000;

	/**
	 * Delay of the server for health and metrics after the start: after a loss of power,
	 * the processor time that it takes to start would delay callers.
	 */
	private static final long ADMIN_DELAY_MILLIS = 1_000;

	/** About the usual number of requests per second on an entry VM. */
	private static final int MAX_REQUEST_LINES_PER_SECOND = 10;

	/** Stands for this VM if it knows no others. */
	private static final LoadPeer NO_PEER = new LoadPeer("", "");

	private static final Duration READ_TIMEOUT = Duration.ofSeconds(20);

	private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("io"),
			NioIoHandler.newFactory());

	private final EventLoop loop = this.eventLoops.next();

	private final Set<RoutedExchange> openExchanges = new HashSet<>();

	private final RouteOptions options;

	private final ControlLink controlLink;

	private final PoolStates pools;

	private final EndpointPaths paths;

	private final EndpointConnections connections;

	private final EndpointStatements statements;

	private final CrashGuard crashes;

	private final StreamOriginService origins;

	private final RouteMetrics metrics = new RouteMetrics();

	private final RouteHandler handler;

	private final NettyHttpServer callerServer;

	private final NettyHttpServer readinessServer;

	private final FleetFallback fallback;

	private final Optional<LoadGossip> gossip;

	private final Optional<TunnelServer> tunnels;

	private final Optional<ResponseMemory> memory;

	private Optional<AdminServer> admin = Optional.empty();

	private boolean closed;

	// Accessed only on the event loop.
	private long configuredAt = System.nanoTime();

	private volatile HttpLimits limits;

	private volatile boolean upToDate;

	private volatile boolean fleetKnown;

	private volatile boolean stopping;

	/**
	 * Create a daemon.
	 * @param options the options
	 * @param dialect reads and writes headers
	 * @param controlLink the link to control
	 */
	public RouteDaemon(RouteOptions options, RequestDialect dialect, ControlLink controlLink) {
		this.options = options;
		this.controlLink = controlLink;
		this.limits = new HttpLimits(CallerLimits.DEFAULT.maxBodyBytes(), options.maxConnections(), READ_TIMEOUT,
				CallerLimits.DEFAULT.maxHeaderBytes(), HttpLimits.ANY_NUMBER_OF_LINES,
				CallerLimits.DEFAULT.headerTimeout(), CallerLimits.DEFAULT.idleTimeout());
		LoadPeer self = options.loadPeer().orElse(NO_PEER);
		this.paths = new EndpointPaths(self, LinkLog::new);
		this.connections = new EndpointConnections(this.loop, this.paths,
				options.loadPeer().map((peer) -> options.tunnelKey()), this::areTunnelsAllowed);
		this.pools = new PoolStates(this.loop, options.retryBudget(),
				options.loadPeer().map((peer) -> RateLimits.of(peer.address())).orElseGet(RateLimits::ofSingleVm),
				new EndpointRests(self.address()), this.connections::hasIdle);
		this.statements = new EndpointStatements(this.pools, this.connections, this::stopTunnelsTo);
		this.crashes = new CrashGuard(this.loop, this.connections, this.pools, this::carriesRequest,
				self.address().hashCode(), controlLink::reportCrash);
		this.origins = new StreamOriginService(this.loop, self.address());
		Optional<MemoryBudget> budget = options.memory().map((bounds) -> new MemoryBudget(bounds.bytes()));
		this.memory = budget.map(this::responseMemory);
		this.handler = new RouteHandler(
				new RouteContext(this.loop, dialect, this.connections, this.pools, this.statements, this.crashes,
						this.origins, BodyMemory.ofHeap(budget), this.memory, this.metrics, this.openExchanges,
						RequestLogLimits.of(MAX_REQUEST_LINES_PER_SECOND, System.nanoTime()), options.usage()));
		this.callerServer = new NettyHttpServer(options.listen(), () -> this.limits, this.eventLoops, this.handler);
		budget.ifPresent(this.callerServer::boundRequests);
		this.memory.ifPresent((bounded) -> this.callerServer.boundSendBuffers(ResponseMemory.SEND_BUFFER_BYTES));
		this.readinessServer = NettyHttpServer.forProbes(options.ready(), this.eventLoops, new ReadinessHandler());
		this.fallback = new FleetFallback(options.fleetSource(),
				(fleet, readAt) -> applyFleet(fleet, OptionalLong.of(readAt), "list"));
		this.gossip = options.loadPeer().map((peer) -> new LoadGossip(this.loop, this.pools, this.crashes, peer));
		this.gossip.ifPresent((loadGossip) -> {
			this.crashes.announcer(loadGossip::announce);
			this.origins.sender(loadGossip::send);
			loadGossip.originReceiver(this.origins::receive);
		});
		this.tunnels = options.loadPeer()
			.map((peer) -> new TunnelServer(this.loop, InternalConnection.parse(peer.address()), options.tunnelKey(),
					new TunnelTargets()));
	}

	/**
	 * Start to serve.
	 * @throws IOException if an address can't be used
	 */
	public void start() throws IOException {
		start(Optional.empty());
	}

	/**
	 * Start to serve.
	 * @param opened a socket for callers that is listening already; if empty, one is
	 * bound
	 * @throws IOException if an address can't be used
	 */
	public void start(Optional<ServerSocketChannel> opened) throws IOException {
		try {
			startComponents(opened);
		}
		catch (IOException ex) {
			this.controlLink.close();
			throw ex;
		}
	}

	private void startComponents(Optional<ServerSocketChannel> opened) throws IOException {
		// Started first, so that control responds while the other components start.
		this.controlLink.start(new ControlListener(), List::of, this.metrics.demand()::last);
		this.readinessServer.start();
		this.callerServer.start(opened);
		CompletableFuture.delayedExecutor(ADMIN_DELAY_MILLIS, TimeUnit.MILLISECONDS).execute(this::openAdmin);
		policy(this.options.policy());
		this.loop.scheduleAtFixedRate(this::sweep, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		this.loop.execute(this::tick);
		this.gossip.ifPresent((loadGossip) -> this.loop.execute(loadGossip::start));
		this.tunnels.ifPresent((server) -> this.loop.execute(server::start));
		this.fallback.start();
		DecisionLog.write(LogEvent.STARTED, this.options.listen().toString());
	}

	/**
	 * Set the routing policy without interrupting requests: those in flight keep their
	 * endpoint, their rank and their place in the queue.
	 * @param next the policy
	 */
	public void policy(RoutingPolicy next) {
		this.loop.execute(() -> applyPolicy(next));
	}

	private ResponseMemory responseMemory(MemoryBudget budget) {
		this.connections.boundReads();
		return new ResponseMemory(budget, this.options.memory().get(), new MemoryMetrics(this.metrics.registry()));
	}

	private void applyPolicy(RoutingPolicy next) {
		this.pools.policy(next);
		List<String> off = next.off().stream().map(RoutingMechanism::label).toList();
		DecisionLog.write(LogEvent.ROUTING_POLICY, next.name(), off, next.values().toString(),
				next.optional().toString());
	}

	private synchronized void openAdmin() {
		if (!this.closed) {
			this.options.usage().ifPresent(this.metrics::registerUsage);
			this.admin = this.options.metrics()
				.flatMap((address) -> AdminServer.open(address, this.metrics.registry(), this::isReady));
		}
	}

	private synchronized void closeAdmin() {
		this.closed = true;
		this.admin.ifPresent(AdminServer::close);
	}

	// Not at a fixed rate: after a stall, missed ticks must not be made up for.
	private void tick() {
		this.pools.tick().ifPresent((millis) -> {
			DecisionLog.write(LogEvent.LOOP_STALLED, millis);
			this.metrics.loopStalled(millis);
		});
		if (!this.pools.isCatchingUp()) {
			this.memory.ifPresent(ResponseMemory::tick);
			// A check may end exchanges.
			List.copyOf(this.openExchanges).forEach(RoutedExchange::checkLink);
		}
		this.loop.schedule(this::tick, StallDetector.TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void sweep() {
		this.connections.sweep((instance) -> this.pools.endpoint(instance).isPresent());
		this.handler.logRefusalSummaries();
		this.pools.refreshSharers();
		this.pools.logDivisions();
		this.pools.logPools();
		this.pools.logRateLimits();
		this.pools.rests().sweep(System.nanoTime());
		this.crashes.sweep();
		this.origins.sweep();
		this.memory.ifPresent(ResponseMemory::publish);
		publishGauges();
	}

	private void publishGauges() {
		long now = System.nanoTime();
		this.metrics.gauges()
			.publish(new RouteGauges.Snapshot(this.openExchanges.size(), this.callerServer.connections(),
					this.connections.idleCount(), this.paths.direct().lostCount(), openTunnels(),
					this.pools.tableNumber(), (now - this.configuredAt) / 1e9, this.pools.sharing().vms(),
					this.pools.gauges(now), this.pools.policy()));
	}

	/**
	 * Return the port for callers.
	 * @return the port
	 */
	public int port() {
		return this.callerServer.port();
	}

	/**
	 * Return the port of the readiness server.
	 * @return the port
	 */
	public int readyPort() {
		return this.readinessServer.port();
	}

	/**
	 * Return whether callers should be sent to this VM.
	 * @return whether configuration and fleet are known and the VM is not stopping
	 */
	public boolean isReady() {
		return this.upToDate && this.fleetKnown && !this.stopping;
	}

	/**
	 * Stop gracefully, unless told to stop immediately: first becomes not ready, then
	 * accepts no new connections, then completes the requests in flight.
	 * @param immediate returns whether to abort the remaining requests at once
	 * @return {@link ResultCode#OK}, or {@link ResultCode#DRAIN_LIMIT} if requests were
	 * aborted
	 * @throws InterruptedException if the thread is interrupted
	 */
	public ResultCode stop(BooleanSupplier immediate) throws InterruptedException {
		this.stopping = true;
		DecisionLog.write(LogEvent.STOPPING,
				this.loop.submit(this.openExchanges::size).awaitUninterruptibly().getNow());
		this.controlLink.announceLeaving();
		this.tunnels.ifPresent((server) -> this.loop.execute(server::stopAccepting));
		this.callerServer.closeAfterResponses();
		StopWait.until(immediate, this.options.stopDelay(), () -> false);
		this.callerServer.stopAccepting();
		boolean drained = StopWait.until(immediate, this.options.drainLimit(), this::isIdle);
		if (!drained) {
			this.loop.submit(() -> List.copyOf(this.openExchanges).forEach(RoutedExchange::abortForShutdown))
				.awaitUninterruptibly();
			StopWait.until(() -> false, Duration.ofMillis(200), this::isIdle);
		}
		close();
		DecisionLog.write(LogEvent.STOPPED, drained);
		return (drained) ? ResultCode.OK : ResultCode.DRAIN_LIMIT;
	}

	private boolean isIdle() {
		boolean none = Boolean.TRUE.equals(this.loop
			.submit(() -> this.openExchanges.isEmpty() && !this.origins.isAsking() && !this.handler.isWaitingForList())
			.awaitUninterruptibly()
			.getNow());
		return none && this.callerServer.isFlushed() && openTunnels() == 0;
	}

	private int openTunnels() {
		return this.tunnels.map(TunnelServer::open).orElse(0);
	}

	private void close() {
		this.tunnels.ifPresent((server) -> this.loop.execute(server::close));
		this.gossip.ifPresent((loadGossip) -> this.loop.execute(loadGossip::stop));
		this.fallback.close();
		this.callerServer.close();
		this.readinessServer.close();
		this.controlLink.close();
		closeAdmin();
		this.eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

	private boolean carriesRequest(String instance) {
		return this.openExchanges.stream().anyMatch((exchange) -> exchange.isConnectedTo(instance));
	}

	private void stopTunnelsTo(String instance) {
		this.tunnels.ifPresent((server) -> server.stopTunnelsTo(instance));
	}

	private boolean areTunnelsAllowed() {
		return this.pools.policy().isOn(RoutingMechanism.TUNNELS);
	}

	private void applyFleet(Fleet fleet, OptionalLong readAt, String source) {
		this.loop.execute(() -> {
			if (fleet.revision() != this.pools.fleet().revision()) {
				this.pools.fleet(fleet);
				this.origins.listChanged(this.pools::endpoint);
				FleetLog.write(fleet, source);
			}
			this.pools.versions().confirmed(fleet, readAt, System.nanoTime());
			this.handler.listConfirmed();
			this.fleetKnown = true;
		});
	}

	/** Applies updates from control; called on the link's thread. */
	private final class ControlListener implements ControlLink.Listener {

		@Override
		public void manifestChanged(Manifest next) {
			logger.error("ignored manifest {}: it defines no routes, and this entry VM serves only routes",
					next.number());
		}

		@Override
		public void routesChanged(RouteTable table) {
			RouteDaemon.this.limits = RouteDaemon.this.limits.with(table.limits());
			RouteDaemon.this.loop.execute(() -> {
				RouteDaemon.this.handler.table(table);
				RouteDaemon.this.configuredAt = System.nanoTime();
			});
			DecisionLog.write(LogEvent.CONFIGURATION, table.number(), table.pools().size());
		}

		@Override
		public void fleetReceived(Fleet fleet, OptionalLong readAt) {
			RouteDaemon.this.fallback.fleetConfirmed(fleet);
			applyFleet(fleet, readAt, "control");
		}

		@Override
		public void peersReceived(List<LoadPeer> peers) {
			RouteDaemon.this.loop.execute(() -> {
				RouteDaemon.this.paths.peers(peers);
				RouteDaemon.this.origins.peers(peers.stream().map(LoadPeer::address).toList());
				RouteDaemon.this.pools.rateLimits().peers(peers);
				RouteDaemon.this.gossip.ifPresent((loadGossip) -> loadGossip.peers(peers));
			});
		}

		@Override
		public void controlsReceived(List<String> addresses) {
			RouteDaemon.this.loop.execute(() -> RouteDaemon.this.origins.controls(addresses));
		}

		@Override
		public void upToDate() {
			RouteDaemon.this.loop.execute(() -> RouteDaemon.this.upToDate = true);
		}

		@Override
		public void endpointStatusChanged(String endpoint, EndpointStatus status) {
			logger.debug("ignored status of endpoint {}: {} (also reported with the fleet)", endpoint, status);
		}

		@Override
		public void crashReported(long contentHash, int crashes) {
			RouteDaemon.this.loop.execute(() -> RouteDaemon.this.crashes.reported(contentHash, crashes));
		}

		@Override
		public void entryCountChanged(int count) {
			RouteDaemon.this.loop.execute(() -> RouteDaemon.this.pools.updateEntryCount(count));
		}

		@Override
		public void entryCountConfirmed() {
			RouteDaemon.this.loop.execute(RouteDaemon.this.pools::confirmEntryCount);
		}

	}

	/** The endpoints that this VM carries tunnels to. */
	private final class TunnelTargets implements TunnelServer.Targets {

		@Override
		public Optional<FleetEndpoint> find(String instance) {
			return RouteDaemon.this.pools.endpoint(instance);
		}

		@Override
		public EndpointLink link(String instance) {
			return RouteDaemon.this.paths.direct().link(instance);
		}

		@Override
		public boolean mayGetRequests(String instance) {
			return RouteDaemon.this.pools.mayGetRequests(instance, System.nanoTime());
		}

		@Override
		public void stated(EndpointStatement statement) {
			RouteDaemon.this.statements.told(statement);
		}

	}

	/** Responds to every request at its address with whether the VM is ready. */
	private final class ReadinessHandler implements RequestHandler {

		@Override
		public void handle(CallerRequest request, CallerResponse response) {
			int status = (isReady()) ? 200 : 503;
			response.send(status, Map.of(), new byte[0]);
		}

		@Override
		public void refused(ResultCode code) {
			logger.debug("readiness request refused with {}", code);
		}

	}

}
