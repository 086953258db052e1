package org.acaciacourse.daemon.control;

import java.util.Optional;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.DefaultThreadFactory;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.acaciacourse.core.consensus.Member;
import org.acaciacourse.daemon.duty.DutyMetrics;
import org.acaciacourse.daemon.duty.DutyOptions;
import org.acaciacourse.daemon.duty.UsageLoop;
import org.acaciacourse.daemon.inner.RunId;
import org.acaciacourse.daemon.inner.SharedKey;

/**
 * The parts of a control VM that report the usage of customers. Entry VMs tell every
 * control VM their counts, and any of them may hold the duty.
 * <p>
 * Thread safe.
 */
final class UsageDuty implements AutoCloseable {

	/** One thread for each of the other control VMs of a usual system. */
	private static final int PEER_THREADS = 4;

	private static final int MAX_WAITING_CALLS = 64;

	private static final long IDLE_SECONDS = 30;

	private final DutyOptions options;

	private final ReplicaLoop loop;

	private final Member self;

	private final SharedKey key;

	private final ThreadPoolExecutor peerCalls;

	private final UsageService service;

	private Optional<UsageLoop> usageLoop = Optional.empty();

	UsageDuty(DutyOptions options, ReplicaLoop loop, Member self, SharedKey key) {
		this.options = options;
		this.loop = loop;
		this.self = self;
		this.key = key;
		this.peerCalls = new ThreadPoolExecutor(PEER_THREADS, PEER_THREADS, IDLE_SECONDS, TimeUnit.SECONDS,
				new LinkedBlockingQueue<>(MAX_WAITING_CALLS), new DefaultThreadFactory("duty-peers", true));
		this.peerCalls.allowCoreThreadTimeOut(true);
		this.service = new UsageService(options.usage().windows(), loop, self, key, this.peerCalls);
	}

	UsageService service() {
		return this.service;
	}

	synchronized void start(PrometheusRegistry metrics) {
		String holder = RunId.next(this.self.vm());
		DutyLease lease = new DutyLease(UsageLoop.DUTY, holder, this.options, this.loop, this.self, this.key,
				this.peerCalls);
		UsageLoop started = new UsageLoop(this.self.vm(), holder, this.options, lease, this.service,
				new DutyMetrics(metrics));
		started.start();
		this.usageLoop = Optional.of(started);
	}

	@Override
	public synchronized void close() {
		this.usageLoop.ifPresent(UsageLoop::close);
		this.usageLoop = Optional.empty();
		this.peerCalls.shutdown();
	}

}
