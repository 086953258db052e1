package org.acaciacourse.daemon.link;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.daemon.inner.InternalConnection;
import org.acaciacourse.daemon.process.EssentialThread;
import org.acaciacourse.protocol.generated.ClassReport;
import org.acaciacourse.protocol.generated.PollReply;
import org.acaciacourse.protocol.generated.PollRequest;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.TException;

/**
 * Polls any one of the control VMs for the configuration, on a thread of its own. Each
 * poll requests a linearizable read until one has returned the latest configuration;
 * later polls only wait for changes. If a poll times out, its connection is replaced by
 * one to the next control VM.
 * <p>
 * Thread safe.
 */
final class ConfigurationPoller implements AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(ConfigurationPoller.class);

	/**
	 * How long a control VM holds a poll while there is no change. A dead connection is
	 * detected after this time plus the reserve of the timeout, which is within the time
	 * that a change may take to be in force. Shorter polls would only cost more wake-ups.
	 */
	private static final long POLL_WAIT_MILLIS = 900;

	private static final Duration CALL_TIMEOUT = Duration.ofMillis(POLL_WAIT_MILLIS + 600);

	/**
	 * The delay after a failed poll. It can be short, as the control VM itself holds a
	 * poll for a while if it cannot reply yet.
	 */
	private static final long RETRY_DELAY_MILLIS = 50;

	/** Keeps the end of a stop within the time that it may take. */
	private static final Duration LAST_CALL_TIMEOUT = Duration.ofMillis(250);

	private static final int MAX_LAST_TRIES = 2;

	private final LinkOptions options;

	private final String runId;

	private final ConfigurationFollower follower;

	private final ControlLink.Listener listener;

	private final Supplier<List<ClassReport>> reports;

	private final Supplier<List<String>> seeds;

	private final Optional<UsageMeter> usage;

	private final DemandTeller demand;

	private final CountDownLatch closed = new CountDownLatch(1);

	private final Thread thread;

	/** The control VMs named in the settings, then those reported by control VMs. */
	private volatile List<String> controls;

	private Optional<InternalConnection> connection = Optional.empty();

	private int controlIndex;

	/** The position up to which the connected control VM has the counts of usage. */
	private long usagePosition;

	private boolean latestConfirmed;

	private volatile boolean leaving;

	ConfigurationPoller(LinkOptions options, String runId, ControlLink.Listener listener,
			Supplier<List<ClassReport>> reports, Optional<UsageMeter> usage, Optional<DemandSource> demand) {
		this.options = options;
		this.runId = runId;
		this.listener = listener;
		this.reports = reports;
		this.usage = usage;
		this.demand = new DemandTeller(demand);
		this.seeds = options.seeds();
		this.follower = new ConfigurationFollower(listener);
		this.controls = options.controls();
		this.controlIndex = Math.floorMod(options.vm().hashCode(), this.controls.size());
		this.thread = new EssentialThread(this::run, "control-poll-" + options.vm());
	}

	void start() {
		this.thread.start();
	}

	/**
	 * Notify a control VM at once that this VM is leaving, in parallel to the pending
	 * poll.
	 */
	void leaving() {
		this.leaving = true;
		Thread sender = new Thread(this::sendLeaving, "control-leaving");
		sender.setDaemon(true);
		sender.start();
	}

	private void sendLeaving() {
		this.controls.stream().anyMatch((address) -> sendAtOnce(address, leavingRequest(), CALL_TIMEOUT));
	}

	private PollRequest leavingRequest() {
		return new PollRequest(this.options.vm(), this.runId, this.options.dataCentre(), 0, "", 0, 0, List.of(), false,
				true, 0, "");
	}

	private boolean sendAtOnce(String address, PollRequest request, Duration timeout) {
		try (InternalConnection direct = InternalConnection.open(address, timeout)) {
			direct.control().poll(this.options.key().text(), request);
			return true;
		}
		catch (TException | RuntimeException ex) {
			LOGGER.debug("cannot notify control VM {} that this VM is leaving", address, ex);
			return false;
		}
	}

	private void sendLastUsage() {
		PollRequest request = leavingRequest();
		this.usage.ifPresent((meter) -> {
			meter.writeLastTo(request);
			this.controls.stream()
				.limit(MAX_LAST_TRIES)
				.anyMatch((address) -> sendAtOnce(address, request, LAST_CALL_TIMEOUT));
		});
	}

	private void run() {
		try {
			while (this.closed.getCount() > 0) {
				if (!pollOnce()) {
					disconnect();
					this.controlIndex = (this.controlIndex + 1) % this.controls.size();
					this.closed.await(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		disconnect();
	}

	private boolean pollOnce() throws InterruptedException {
		try {
			if (this.connection.isEmpty()) {
				this.connection = Optional
					.of(InternalConnection.open(this.controls.get(this.controlIndex), CALL_TIMEOUT));
			}
			boolean latestRequested = !this.latestConfirmed;
			PollRequest request = request(latestRequested);
			long nextPosition = this.usage.map((meter) -> meter.writeTo(request, this.usagePosition)).orElse(0L);
			this.demand.writeTo(request);
			long askedAt = System.nanoTime();
			PollReply reply = this.connection.get().control().poll(this.options.key().text(), request);
			if (reply.getResult().getCode() != ResultCode.OK.number()) {
				return false;
			}
			this.usagePosition = nextPosition;
			this.demand.replied();
			this.usage.ifPresent((meter) -> meter.replied(reply));
			boolean current = this.follower.apply(reply, askedAt);
			updateControls(reply.getControls());
			confirmLatest(latestRequested && current && reply.getNumber() > 0);
			if (!this.latestConfirmed) {
				this.closed.await(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
			}
			return true;
		}
		catch (TException | RuntimeException ex) {
			LOGGER.debug("poll failed", ex);
			return false;
		}
	}

	// The settings may name control VMs that no longer exist. Every control VM knows the
	// current members of the replicated log.
	private void updateControls(List<String> members) {
		if (members == null || members.isEmpty()) {
			return;
		}
		Set<String> merged = new LinkedHashSet<>(this.seeds.get());
		merged.addAll(members);
		if (!Set.copyOf(this.controls).equals(merged)) {
			String currentAddress = this.controls.get(this.controlIndex);
			this.controls = List.copyOf(merged);
			this.controlIndex = Math.max(0, this.controls.indexOf(currentAddress));
		}
	}

	private PollRequest request(boolean latestRequested) {
		return new PollRequest(this.options.vm(), this.runId, this.options.dataCentre(), this.follower.number(),
				this.follower.digest(), this.follower.crashRevision(), POLL_WAIT_MILLIS, this.reports.get(),
				latestRequested, this.leaving, this.follower.fleetRevision(), this.options.loadAddress())
			.setPeersRevision(this.follower.peersRevision());
	}

	private void confirmLatest(boolean confirmed) {
		if (confirmed && !this.latestConfirmed) {
			this.latestConfirmed = true;
			this.listener.upToDate();
		}
	}

	private void disconnect() {
		this.connection.ifPresent(InternalConnection::close);
		this.connection = Optional.empty();
		this.usagePosition = 0;
		this.demand.disconnected();
	}

	@Override
	public void close() {
		this.closed.countDown();
		sendLastUsage();
	}

}
