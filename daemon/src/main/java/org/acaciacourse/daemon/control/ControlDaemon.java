package org.acaciacourse.daemon.control;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleConsumer;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.Lazy;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.consensus.HardState;
import org.acaciacourse.core.consensus.LogEntry;
import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.core.consensus.Membership;
import org.acaciacourse.core.consensus.MembershipCodec;
import org.acaciacourse.core.consensus.MembershipManager;
import org.acaciacourse.core.consensus.ReplicaStatus.Role;
import org.acaciacourse.core.order.OrderTiming;
import org.acaciacourse.daemon.admin.AdminServer;
import org.acaciacourse.daemon.duty.DutyOptions;
import org.acaciacourse.daemon.inner.InternalConnection;
import org.acaciacourse.daemon.inner.InternalServer;
import org.acaciacourse.daemon.memory.SizeGate;
import org.acaciacourse.daemon.order.OrderWriterLoop;
import org.acaciacourse.daemon.store.ReplicaStore;
import org.acaciacourse.daemon.store.StoreException;
import org.acaciacourse.daemon.telemetry.Gauges;
import org.acaciacourse.protocol.generated.PeerDescription;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.transport.TTransportException;

/**
 * A control VM: one replica of the log with its store, servers and periodic tasks. It
 * starts to serve once bootstrap is complete. Invariant: every opened resource is closed
 * by {@link #stop}, also after a failed start.
 * <p>
 * Thread safe: start and stop are called once each, by any thread.
 */
public final class ControlDaemon {

	private static final Logger LOGGER = LogManager.getLogger(ControlDaemon.class);

	private static final long BOOTSTRAP_TERM = 1;

	private static final long RETRY_MILLIS = 300;

	private static final int ATTEMPTS_PER_LOG = 100;

	private static final long TRANSFER_TIMEOUT_MILLIS = 3000;

	private final ControlOptions options;

	private final CompletableFuture<ResultCode> ended = new CompletableFuture<>();

	private final Deque<AutoCloseable> resources = new ArrayDeque<>();

	private final EntryRegistry registry = new EntryRegistry();

	private final PrometheusRegistry metrics = new PrometheusRegistry();

	private volatile Optional<ReplicaLoop> loop = Optional.empty();

	private volatile Optional<ConfigurationStore> configuration = Optional.empty();

	private volatile boolean latestKnown;

	private volatile boolean stopping;

	private ReplicaStore store;

	private Member self;

	private ReplicaHandler replicaHandler;

	private ControlHandler controlHandler;

	private int bootstrapAttempts;

	private Optional<PeriodicTask> bootstrapTask = Optional.empty();

	private Optional<OrderWriterLoop> orderLoop = Optional.empty();

	private Optional<Duties> duties = Optional.empty();

	/**
	 * Create a daemon.
	 * @param options its options
	 */
	public ControlDaemon(ControlOptions options) {
		this.options = options;
	}

	/**
	 * Open the data folder and the servers, and start the replica or its bootstrap.
	 * @return {@link ResultCode#OK}, or the reason why the start failed
	 */
	public synchronized ResultCode start() {
		try {
			open();
			return ResultCode.OK;
		}
		catch (StoreException ex) {
			LOGGER.fatal("cannot open the data folder", ex);
			abort();
			return ex.code();
		}
		catch (IOException | TTransportException ex) {
			LOGGER.fatal("cannot bind an address", ex);
			abort();
			return ResultCode.ADDRESS_IN_USE;
		}
	}

	private void open() throws IOException, TTransportException {
		this.store = ReplicaStore.open(this.options.data());
		this.resources.push(this.store);
		this.self = new Member(this.store.identity(), this.options.vm(), this.options.address(), false);
		this.replicaHandler = new ReplicaHandler(this.options.innerKey(), this.self);
		this.controlHandler = new ControlHandler(this.options.innerKey(), this.options.operatorKey());
		ServerSocket listener = new ServerSocket();
		this.resources.push(listener);
		listener.setReuseAddress(true);
		listener.bind(InternalConnection.parse(this.options.address()));
		InternalServer server = new InternalServer(listener, this.replicaHandler, this.controlHandler,
				SizeGate.ofHeap());
		this.resources.push(server);
		server.start();
		LOGGER.info("replica {} of VM {} listens at {}", this.self.id().value(), this.options.vm(),
				this.options.address());
		if (this.options.fleet().isPresent()) {
			startOrigins();
		}
		if (this.store.recovered().isFresh()) {
			this.controlHandler.bootstrapPending();
			this.bootstrapTask = Optional.of(new PeriodicTask("founding", RETRY_MILLIS, this::tryBootstrap));
			this.resources.push(this.bootstrapTask.get());
		}
		else {
			startReplica();
		}
		// Started after the replica, so that the admin server does not delay an election,
		// for which all entry VMs wait.
		this.resources
			.push(new AdminServer(InternalConnection.parse(this.options.admin()), this.metrics, this::isReady));
	}

	// Without it, only streams that are taken up after a loss of all entry VMs suffer.
	private void startOrigins() {
		try {
			StreamOriginServer origins = new StreamOriginServer(this.options.address());
			this.resources.push(origins);
			origins.start();
			Gauges.register(this.metrics, "acaciacourse_stream_origins_kept",
					"Streams whose origin this control VM knows", origins::size);
		}
		catch (IOException ex) {
			LOGGER.warn("cannot receive the origins of streams at {}: {}", this.options.address(), ex.getMessage());
		}
	}

	private synchronized void tryBootstrap() {
		if (this.loop.isPresent() || this.stopping) {
			return;
		}
		List<PeerDescription> descriptions = new ArrayList<>();
		for (String address : this.options.seeds().get()) {
			if (!address.equals(this.options.address())) {
				PeerCalls.call(address, (c) -> c.replica().describe(this.options.innerKey().text()))
					.ifPresent(descriptions::add);
			}
		}
		Bootstrap.Decision decision = Bootstrap.decide(this.self, this.options.initial(), descriptions,
				this.options.mayBootstrap());
		if (decision.step() != Bootstrap.Step.ASK_AGAIN) {
			LOGGER.info("empty data folder: {}", decision.step());
			this.bootstrapTask.ifPresent(PeriodicTask::close);
			startReplica(decision.membership());
		}
		else if (this.bootstrapAttempts++ % ATTEMPTS_PER_LOG == 0) {
			LOGGER.info(
					"empty data folder: waiting for all other initial members, with distinct VM names; {} responded",
					descriptions.size());
		}
	}

	private void startReplica(Optional<Membership> initialMembership) {
		try {
			initialMembership.ifPresent(this::writeInitialMembership);
			startReplica();
		}
		catch (StoreException ex) {
			LOGGER.fatal("data folder failed", ex);
			this.ended.complete(ex.code());
		}
	}

	// The membership is written as a log entry, so that initial members that start with
	// an empty log receive it by replication. All replicas that bootstrap write the same
	// entry.
	private void writeInitialMembership(Membership initialMembership) {
		LogEntry first = new LogEntry(1, BOOTSTRAP_TERM, LogEntry.Kind.MEMBERSHIP,
				MembershipCodec.encode(initialMembership));
		this.store.bootstrap(new HardState(BOOTSTRAP_TERM, Optional.of(this.self.id())), first);
	}

	private void startReplica() {
		PeerOutbox outbox = new PeerOutbox(this.options.address(), this.options.innerKey());
		ReplicaDriver driver = new ReplicaDriver(this.store, this.options.vm(), this.options.timing(),
				this.options.snapshotEntries(), outbox, System.nanoTime());
		Lazy<DoubleConsumer> commitSeconds = Lazy.of(() -> ControlMetrics.commitSeconds(this.metrics));
		ReplicaLoop next = new ReplicaLoop("replica-" + this.options.vm(), driver,
				(seconds) -> commitSeconds.get().accept(seconds), this.ended::complete);
		// Started first: other replicas wait for this replica's vote, and the services
		// are set up while an election runs.
		next.start();
		this.replicaHandler.start(next, outbox);
		this.loop = Optional.of(next);
		LinearizableRead read = new LinearizableRead(next, this.self, this.options.innerKey());
		RegistryExchange exchange = new RegistryExchange(next, this.self, this.options.seeds(), this.options.innerKey(),
				this.registry, this.options.duties().flatMap(DutyOptions::orders).isPresent());
		PlatformList platform = new PlatformList(this.options.platformList());
		FleetKeeper fleet = new FleetKeeper(next, this.self, this.options.innerKey(), this.options.fleet());
		ApplyService applyService = new ApplyService(next);
		this.duties = this.options.duties()
			.map((duties) -> new Duties(duties, next, this.self, this.options.innerKey()));
		Optional<UsageService> usage = this.duties.flatMap(Duties::usage);
		this.controlHandler.start(new ControlHandler.Services(next, applyService,
				new PollService(next, read, this.registry, platform, fleet, usage),
				new StatusService(next, this.self, exchange), this.registry, fleet, usage));
		exchange.start();
		platform.start(next.views()::signalChange);
		fleet.start();
		this.configuration = Optional
			.of(new ConfigurationStore(next, this.self, applyService, read, this.options.operatorKey()));
		this.resources.push(outbox);
		this.resources.push(platform);
		this.resources.push(fleet);
		this.resources.push(exchange);
		this.resources.push(new PeriodicTask("latest", RETRY_MILLIS, () -> updateLatestKnown(read)));
		if (this.options.orders()) {
			startOrderLoop(next);
		}
		this.duties.ifPresent((started) -> started.start(fleet, this.registry, this.metrics));
		commitSeconds.get();
		ControlMetrics.register(this.metrics, () -> next.views().latest(), this.registry);
	}

	private void startOrderLoop(ReplicaLoop running) {
		this.orderLoop = Optional.of(new OrderWriterLoop(this.options.vm(), new OrderLease(running),
				new ManifestView(running), OrderTiming.defaults()));
		this.orderLoop.get().start();
	}

	private void updateLatestKnown(LinearizableRead read) {
		try {
			this.latestKnown = this.latestKnown || read.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Return whether this replica has a leader, has its final role in the membership, and
	 * has caught up with the latest state once. A rolling replacement of control VMs
	 * proceeds once the last one is ready: if a replica that joined with an empty data
	 * folder were ready while still a learner, stopping the next VM could leave the
	 * others without a quorum.
	 * @return whether it is ready
	 */
	public boolean isReady() {
		boolean placed = this.loop.map((l) -> l.views().latest())
			.filter((p) -> p.status().leader().isPresent())
			.filter((p) -> MembershipManager.hasFinalRole(p.membership(), this.self.id()))
			.isPresent();
		return placed && this.latestKnown && !this.stopping && !this.ended.isDone();
	}

	/**
	 * Return the store that submits and reads manifests.
	 * @return the store, once bootstrap is complete
	 */
	public Optional<ConfigurationStore> configuration() {
		return this.configuration;
	}

	/**
	 * Return whether this replica is the leader.
	 * @return whether it is the leader
	 */
	public boolean isLeader() {
		return this.loop.filter((l) -> l.views().latest().status().role() == Role.LEADER).isPresent();
	}

	/**
	 * Return a future that completes when a fault ends the daemon.
	 * @return the future, which completes with the code of the fault
	 */
	public CompletableFuture<ResultCode> ended() {
		return this.ended;
	}

	/**
	 * Transfer the leadership, then stop.
	 */
	public synchronized void stop() {
		this.stopping = true;
		closeHolders();
		try {
			if (this.loop.isPresent()) {
				transferLeadership(this.loop.get());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		abort();
	}

	/**
	 * Stop without transferring the leadership.
	 */
	synchronized void abort() {
		this.stopping = true;
		try {
			if (this.loop.isPresent()) {
				this.loop.get().stop();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		closeAll();
	}

	private void transferLeadership(ReplicaLoop running) throws InterruptedException {
		ReplicaView latest = running.views().latest();
		if (latest.status().role() == Role.LEADER && latest.membership().voters().size() > 1) {
			running.transferLeadership();
			boolean transferred = running.views()
				.await((p) -> p.status().role() != Role.LEADER, TRANSFER_TIMEOUT_MILLIS);
			LOGGER.info("leadership transferred before the stop: {}", transferred);
		}
	}

	// Closed while this VM still leads, so that the leases can be released.
	private void closeHolders() {
		this.orderLoop.ifPresent(OrderWriterLoop::close);
		this.orderLoop = Optional.empty();
		this.duties.ifPresent(Duties::close);
		this.duties = Optional.empty();
	}

	private void closeAll() {
		closeHolders();
		while (!this.resources.isEmpty()) {
			try {
				this.resources.pop().close();
			}
			catch (Exception ex) {
				LOGGER.warn("cannot close a resource", ex);
			}
		}
	}

}
