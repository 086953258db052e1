package org.acaciacourse.bench.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import org.HdrHistogram.ConcurrentHistogram;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.daemon.inner.SharedKey;
import org.acaciacourse.daemon.link.LeaderClient;
import org.acaciacourse.protocol.generated.ReportCrashCommand;
import org.acaciacourse.protocol.generated.Result;

/**
 * Small commands in a closed loop. The longest time without any success is what a
 * failover in the middle costs the callers.
 * <p>
 * Thread safe: run once.
 */
final class CommitLoad {

	/** Class loading and compilation take a second; they are not what is measured. */
	private static final Duration WARM_UP = Duration.ofSeconds(3);

	private static final Duration LIMIT = Duration.ofSeconds(30);

	private final List<String> controls;

	private final SharedKey key;

	private final int threads;

	private final ConcurrentHistogram latencies = new ConcurrentHistogram(3);

	private final AtomicLong failures = new AtomicLong();

	private long lastSuccess;

	private long longestGap;

	CommitLoad(List<String> controls, SharedKey key, int threads) {
		this.controls = controls;
		this.key = key;
		this.threads = threads;
	}

	String run(Duration length) throws InterruptedException {
		long began = System.nanoTime() + WARM_UP.toNanos();
		this.lastSuccess = began;
		List<Thread> callers = new ArrayList<>();
		for (int i = 0; i < this.threads; i++) {
			int caller = i;
			Thread thread = new Thread(() -> call(caller, began + length.toNanos()));
			callers.add(thread);
			thread.start();
		}
		for (Thread thread : callers) {
			thread.join();
		}
		double seconds = (System.nanoTime() - began) / 1e9;
		return String.format(Locale.ROOT,
				"threads %d: %.0f commits/s, p50 %.2f ms, p99 %.2f ms, max %.2f ms, failed %d, longest gap %.0f ms",
				this.threads, this.latencies.getTotalCount() / seconds, this.latencies.getValueAtPercentile(50) / 1e6,
				this.latencies.getValueAtPercentile(99) / 1e6, this.latencies.getMaxValue() / 1e6, this.failures.get(),
				this.longestGap / 1e6);
	}

	private void call(int number, long until) {
		try (LeaderClient caller = new LeaderClient(this.controls)) {
			for (int i = 0; System.nanoTime() < until; i++) {
				ReportCrashCommand command = new ReportCrashCommand(number % 64, i % 3);
				long sent = System.nanoTime();
				Optional<Result> result = caller.call((c) -> c.reportCrash(this.key.text(), command), (r) -> r, LIMIT);
				note(result, sent);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private synchronized void note(Optional<Result> result, long sent) {
		if (sent < this.lastSuccess && this.latencies.getTotalCount() == 0) {
			return;
		}
		if (result.filter((r) -> r.getCode() == ResultCode.OK.number()).isEmpty()) {
			this.failures.incrementAndGet();
			return;
		}
		long now = System.nanoTime();
		this.latencies.recordValue(now - sent);
		this.longestGap = Math.max(this.longestGap, now - this.lastSuccess);
		this.lastSuccess = now;
	}

}
