package org.acaciacourse.daemon.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.netty.channel.EventLoopGroup;
import org.acaciacourse.core.balance.SharerCount;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.DispatchActions;
import org.acaciacourse.core.dispatch.Dispatcher;
import org.acaciacourse.core.dispatch.EndpointStatus;
import org.acaciacourse.core.dispatch.LoadReport;
import org.acaciacourse.core.dispatch.suspect.SuspectTable;
import org.acaciacourse.core.model.Endpoint;
import org.acaciacourse.core.model.EndpointSet;
import org.acaciacourse.core.model.Manifest;
import org.acaciacourse.core.settings.SettingKey;
import org.acaciacourse.core.settings.Settings;
import org.acaciacourse.daemon.admin.AdminServer;
import org.acaciacourse.daemon.cli.StopWait;
import org.acaciacourse.daemon.endpoint.EndpointClient;
import org.acaciacourse.daemon.endpoint.EndpointPoller;
import org.acaciacourse.daemon.endpoint.EngineStartTimes;
import org.acaciacourse.daemon.http.NettyHttpServer;
import org.acaciacourse.daemon.link.ControlLink;
import org.acaciacourse.daemon.telemetry.EntryMetrics;
import org.acaciacourse.daemon.telemetry.Traces;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The daemon of an entry VM. It accepts HTTP requests from callers and sends them to the
 * endpoints that the dispatcher selects. Its threads are the event loops for all HTTP,
 * the thread of the dispatcher, the thread that polls the engines and the thread of the
 * control link.
 * <p>
 * Thread safe. Can be started once and stopped once.
 */
public final class EntryDaemon {

	private static final Logger logger = LogManager.getLogger(EntryDaemon.class);

	private static final int MAX_EVENT_LOOP_THREADS = 4;

	private final EventLoopGroup eventLoops = eventLoops();

	private final Settings settings;

	private final ControlLink link;

	private final EndpointClient client;

	private final EndpointPoller poller;

	private final DispatchLoop dispatchLoop;

	private final EntryMetrics metrics;

	private final Traces traces;

	private final ActiveRequests activeRequests = new ActiveRequests();

	private final EntryRequestHandler requestHandler;

	private final NettyHttpServer front;

	private final CountDownLatch ready = new CountDownLatch(1);

	/** Accessed by the control link's thread only, once the link is started. */
	private final SharerCount entryCounts = new SharerCount();

	private AdminServer admin;

	private Optional<Configuration> configuration = Optional.empty();

	private volatile boolean stopping;

	private volatile boolean drainedByManifest;

	public EntryDaemon(Settings settings, ControlLink link, Function<DispatchActions, Dispatcher> dispatcher) {
		this(settings, link, dispatcher, Traces.of(settings));
	}

	EntryDaemon(Settings settings, ControlLink link, Function<DispatchActions, Dispatcher> dispatcher, Traces traces) {
		EngineStartTimes engineStarts = new EngineStartTimes();
		this.settings = settings;
		this.link = link;
		this.traces = traces;
		this.client = new EndpointClient(this.eventLoops);
		this.dispatchLoop = new DispatchLoop(dispatcher, link);
		this.metrics = new EntryMetrics(this::connections);
		this.poller = new EndpointPoller(this.client, engineStarts, new EngineReportListener());
		this.requestHandler = new EntryRequestHandler(new EntryContext(this.dispatchLoop, this.client, link,
				this.metrics, this.traces, new StallTimeouts(), engineStarts, this.activeRequests));
		this.front = new NettyHttpServer(settings, this.eventLoops, this.requestHandler);
	}

	// Callers and endpoints share the event loops, so that most tokens are forwarded
	// without waking another thread.
	private static EventLoopGroup eventLoops() {
		int threads = Math.max(1, Math.min(MAX_EVENT_LOOP_THREADS, Runtime.getRuntime().availableProcessors() / 4));
		return EndpointClient.eventLoops(threads);
	}

	private int connections() {
		return this.front.connections();
	}

	/**
	 * Start serving. Requests are refused with {@link ResultCode#NOT_READY} until the
	 * configuration is known to be the latest one.
	 * @throws IOException if an address or a file can't be used
	 */
	public void start() throws IOException {
		this.dispatchLoop.start();
		updateEntryCount(this.settings.count(SettingKey.ENTRY_PEERS));
		this.poller.start();
		this.admin = new AdminServer(this.settings.address(SettingKey.ENTRY_ADMIN), this.metrics.registry(),
				this::isReady);
		this.front.start();
		this.link.start(new ControlListener(), this.metrics.results()::reports);
		logger.info("entry daemon listening on port {}", port());
	}

	/**
	 * Return the port for callers.
	 * @return the port
	 */
	public int port() {
		return this.front.port();
	}

	/**
	 * Return the port for health and metrics.
	 * @return the port
	 */
	public int adminPort() {
		return this.admin.port();
	}

	/**
	 * Return whether this VM should receive requests.
	 * @return whether the configuration is the latest and the VM is neither stopping nor
	 * drained by the manifest
	 */
	public boolean isReady() {
		return this.ready.getCount() == 0 && !this.stopping && !this.drainedByManifest;
	}

	/**
	 * Wait until the VM is ready.
	 * @param limit the longest time to wait
	 * @return whether it is ready
	 * @throws InterruptedException if the thread is interrupted
	 */
	public boolean awaitReady(Duration limit) throws InterruptedException {
		return this.ready.await(limit.toMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Stop gracefully: every accepted request is answered within the drain limit.
	 * Requests that remain then are aborted.
	 * @return {@link ResultCode#OK}, or {@link ResultCode#DRAIN_LIMIT} if requests were
	 * aborted
	 * @throws InterruptedException if the thread is interrupted
	 */
	public ResultCode stop() throws InterruptedException {
		return stop(() -> false);
	}

	/**
	 * Stop gracefully like {@link #stop()}, unless the stop is forced.
	 * @param force whether to abort the remaining requests at once
	 * @return {@link ResultCode#OK}, or {@link ResultCode#DRAIN_LIMIT} if requests were
	 * aborted
	 * @throws InterruptedException if the thread is interrupted
	 */
	public ResultCode stop(BooleanSupplier force) throws InterruptedException {
		this.stopping = true;
		this.link.announceLeaving();
		this.front.closeAfterResponses();
		StopWait.until(force, this.settings.duration(SettingKey.ENTRY_STOP_DELAY), () -> false);
		this.front.stopAccepting();
		boolean drained = StopWait.until(force, this.settings.duration(SettingKey.ENTRY_DRAIN_LIMIT),
				() -> this.activeRequests.count() == 0 && this.front.isFlushed());
		if (!drained) {
			abortRemaining();
		}
		close();
		return (drained) ? ResultCode.OK : ResultCode.DRAIN_LIMIT;
	}

	private void abortRemaining() throws InterruptedException {
		List<ActiveRequest> remaining = List.copyOf(this.activeRequests.requests());
		remaining.forEach((request) -> {
			logger.warn("{} aborted request {} while stopping", ResultCode.DRAIN_LIMIT.number(), request.requestId());
			request.executor().execute(request::abortForShutdown);
		});
		StopWait.until(() -> false, Duration.ofSeconds(1),
				() -> this.activeRequests.count() == 0 && this.front.isFlushed());
	}

	private void close() {
		this.front.close();
		this.poller.close();
		this.dispatchLoop.stop();
		this.client.close();
		this.eventLoops.shutdownGracefully(0, 2, TimeUnit.SECONDS).awaitUninterruptibly();
		this.link.close();
		this.admin.close();
		this.traces.close();
	}

	// The dispatcher divides shared limits by the number of entry VMs. A control VM that
	// has just started knows only a few of them, and with its count the limits would be
	// many times too high, so the highest recent count is used.
	private void updateEntryCount(int entryCount) {
		this.entryCounts.update(entryCount, System.nanoTime());
		int highest = this.entryCounts.highest();
		this.dispatchLoop.submit((d, now) -> d.entryCount(highest, now));
	}

	private void applyManifest(Manifest next) {
		Configuration configuration = Configuration.of(next, this.configuration);
		this.configuration = Optional.of(configuration);
		this.drainedByManifest = next.drainedVms().contains(this.settings.text(SettingKey.VM_NAME));
		this.dispatchLoop.configure(configuration);
		this.requestHandler.configure(configuration);
		this.poller.setEndpoints(engineAddresses(next));
		this.metrics.configurationActivated(next.number());
	}

	private static Map<String, String> engineAddresses(Manifest manifest) {
		return manifest.endpoints()
			.values()
			.stream()
			.filter((endpoint) -> manifest.endpointSets().get(endpoint.endpointSet()).kind() == EndpointSet.Kind.MODEL)
			.collect(Collectors.toMap(Endpoint::name, (endpoint) -> "http://" + endpoint.address().getAuthority()));
	}

	/** Applies updates from the control VMs; called on the control link's thread. */
	private final class ControlListener implements ControlLink.Listener {

		@Override
		public void manifestChanged(Manifest next) {
			applyManifest(next);
		}

		@Override
		public void upToDate() {
			EntryDaemon.this.requestHandler.upToDate();
			EntryDaemon.this.ready.countDown();
		}

		@Override
		public void endpointStatusChanged(String endpoint, EndpointStatus status) {
			EntryDaemon.this.dispatchLoop.submit((d, now) -> d.endpointStatus(endpoint, status, now));
		}

		@Override
		public void crashReported(long contentHash, int crashes) {
			// Content that was suspected before this VM started has been blocked or
			// cleared by now. If it were handled as new, each restart would set
			// endpoints aside to run old suspects in isolation.
			if (EntryDaemon.this.ready.getCount() > 0 && crashes < SuspectTable.BLOCKING_CRASHES) {
				return;
			}
			EntryDaemon.this.dispatchLoop.submit((d, now) -> d.suspectReported(contentHash, crashes, now));
		}

		@Override
		public void entryCountChanged(int count) {
			updateEntryCount(count);
		}

		@Override
		public void entryCountConfirmed() {
			updateEntryCount(EntryDaemon.this.entryCounts.latest());
		}

	}

	/** Forwards load and cache reports of the engines to the dispatcher. */
	private final class EngineReportListener implements EndpointPoller.Listener {

		@Override
		public void loadReported(String endpoint, LoadReport report) {
			EntryDaemon.this.dispatchLoop.submit((d, now) -> d.loadReport(endpoint, report, now));
		}

		@Override
		public void prefixReported(String endpoint, long prefixHash, boolean held) {
			EntryDaemon.this.dispatchLoop.submit((d, now) -> d.prefixEvent(endpoint, prefixHash, held, now));
		}

	}

}
