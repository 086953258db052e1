package org.acaciacourse.daemon.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.DefaultThreadFactory;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.daemon.duty.DutyMetrics;
import org.acaciacourse.daemon.duty.DutyOptions;
import org.acaciacourse.daemon.duty.EndpointOrderLoop;
import org.acaciacourse.daemon.duty.UsageLoop;
import org.acaciacourse.daemon.inner.RunId;
import org.acaciacourse.daemon.inner.SharedKey;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The duties of a control VM, each with a lease of its own, so that different VMs may
 * hold them.
 * <p>
 * Thread safe.
 */
final class Duties implements AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(Duties.class);

	/** One thread for each of the other control VMs of a usual system. */
	private static final int PEER_THREADS = 4;

	private static final int MAX_WAITING_CALLS = 64;

	private static final long IDLE_SECONDS = 30;

	private final DutyOptions options;

	private final ReplicaLoop loop;

	private final Member self;

	private final SharedKey key;

	private final ThreadPoolExecutor peerCalls;

	private final LeaderProposals proposals;

	private final Optional<UsageService> usage;

	private final List<AutoCloseable> loops = new ArrayList<>();

	Duties(DutyOptions options, ReplicaLoop loop, Member self, SharedKey key) {
		this.options = options;
		this.loop = loop;
		this.self = self;
		this.key = key;
		this.peerCalls = new ThreadPoolExecutor(PEER_THREADS, PEER_THREADS, IDLE_SECONDS, TimeUnit.SECONDS,
				new LinkedBlockingQueue<>(MAX_WAITING_CALLS), new DefaultThreadFactory("duty-peers", true));
		this.peerCalls.allowCoreThreadTimeOut(true);
		this.proposals = new LeaderProposals(loop, this.peerCalls);
		this.usage = options.usage()
			.map((duty) -> new UsageService(duty.timing().windows(), loop, self, key, this.peerCalls));
	}

	/**
	 * Return the usage that entry VMs tell.
	 * @return the usage, if it is reported
	 */
	Optional<UsageService> usage() {
		return this.usage;
	}

	synchronized void start(FleetKeeper fleet, EntryRegistry entries, PrometheusRegistry registry) {
		String holder = RunId.next(this.self.vm());
		DutyMetrics metrics = new DutyMetrics(registry);
		this.usage.ifPresent((store) -> {
			UsageLoop started = new UsageLoop(this.self.vm(), holder, this.options, lease(UsageLoop.DUTY, holder),
					store, metrics);
			started.start();
			this.loops.add(started);
		});
		if (this.options.orders().isPresent()) {
			EndpointOrderLoop started = new EndpointOrderLoop(this.self.vm(), holder, this.options,
					lease(EndpointOrderLoop.DUTY, holder),
					new ProvisionService(this.loop, fleet, entries, this.key, this.proposals), metrics);
			started.start();
			this.loops.add(started);
		}
	}

	private DutyLease lease(String duty, String holder) {
		return new DutyLease(duty, holder, this.options, this.loop, this.self, this.key, this.proposals);
	}

	@Override
	public synchronized void close() {
		this.loops.forEach((running) -> {
			try {
				running.close();
			}
			catch (Exception ex) {
				LOGGER.warn("cannot close a duty", ex);
			}
		});
		this.loops.clear();
		this.peerCalls.shutdown();
	}

}
