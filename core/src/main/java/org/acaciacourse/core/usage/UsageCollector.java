package org.acaciacourse.core.usage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Adds up what the runs of the entry VMs have counted, on one control VM. The highest
 * count of a run holds, so that messages may be repeated, come in any order and reach
 * several control VMs; the counts of different runs are added, also those of one VM
 * before and after a restart.
 * <p>
 * Invariant: at most {@value #MAX_RUNS} runs with {@value UsageCounter#MAX_WINDOWS}
 * windows each are kept.
 * <p>
 * Thread safe.
 */
public final class UsageCollector {

	static final int MAX_RUNS = 4_096;

	/**
	 * A run that no control VM has heard of for this long has ended. An entry VM polls
	 * about once a second, and turns to another control VM after a second and a half.
	 */
	private static final long MAX_SILENCE_NANOS = Duration.ofSeconds(4).toNanos();

	/** A run is forgotten after that time, when all of its windows are fixed. */
	private static final long MAX_AGE_NANOS = Duration.ofMinutes(2).toNanos();

	private final Map<String, Run> runs = new HashMap<>();

	private long frozenThrough;

	/**
	 * Record what an entry VM tells this control VM.
	 * @param usage its counts
	 * @param now the monotonic time in nanoseconds
	 */
	public synchronized void record(RunUsage usage, long now) {
		record(usage, 0, now);
	}

	/**
	 * Record what another control VM tells.
	 * @param known the runs that it has heard of
	 * @param now the monotonic time in nanoseconds
	 */
	public synchronized void merge(List<KnownRun> known, long now) {
		known.forEach((run) -> record(run.usage(), run.ageNanos(), now));
	}

	private void record(RunUsage usage, long ageNanos, long now) {
		this.runs.values().removeIf((run) -> now - run.heardAt > MAX_AGE_NANOS);
		if (this.runs.size() >= MAX_RUNS && !this.runs.containsKey(usage.run())) {
			return;
		}
		Run run = this.runs.computeIfAbsent(usage.run(), (id) -> new Run(now - ageNanos));
		run.heardAt = Math.max(run.heardAt, now - ageNanos);
		run.completeUntil = Math.max(run.completeUntil, usage.completeUntil());
		usage.windows().stream().filter((report) -> report.window() > this.frozenThrough).forEach(run::add);
	}

	/**
	 * Forget the windows that are fixed.
	 * @param window the latest one
	 */
	public synchronized void frozen(long window) {
		this.frozenThrough = Math.max(this.frozenThrough, window);
		this.runs.values().forEach((run) -> run.windows.headMap(this.frozenThrough, true).clear());
	}

	/**
	 * Return what is known of all runs, for another control VM.
	 * @param now the monotonic time in nanoseconds
	 * @return the runs
	 */
	public synchronized List<KnownRun> known(long now) {
		List<KnownRun> known = new ArrayList<>();
		this.runs.forEach((id, run) -> {
			List<UsageReport> windows = run.windows.entrySet()
				.stream()
				.map((entry) -> new UsageReport(entry.getKey(), entry.getValue()))
				.toList();
			known.add(new KnownRun(new RunUsage(id, run.completeUntil, windows), now - run.heardAt));
		});
		return known;
	}

	/**
	 * Return the counts of a window.
	 * @param window the window
	 * @return the requests of all runs by customer
	 */
	public synchronized UsageReport total(long window) {
		Map<String, Long> counts = new HashMap<>();
		this.runs.values()
			.forEach((run) -> run.windows.getOrDefault(window, Map.of())
				.forEach((customer, requests) -> counts.merge(customer, requests, Long::sum)));
		return new UsageReport(window, counts);
	}

	/**
	 * Return the runs that are live and have not told all counts up to a time.
	 * @param timeMillis milliseconds since the epoch
	 * @param now the monotonic time in nanoseconds
	 * @return the ids of the runs
	 */
	public synchronized List<String> incomplete(long timeMillis, long now) {
		return this.runs.entrySet()
			.stream()
			.filter((entry) -> now - entry.getValue().heardAt <= MAX_SILENCE_NANOS)
			.filter((entry) -> entry.getValue().completeUntil < timeMillis)
			.map(Map.Entry::getKey)
			.sorted()
			.toList();
	}

	/**
	 * A run that a control VM has heard of.
	 *
	 * @param usage all of its counts
	 * @param ageNanos the time since it was last heard of
	 */
	public record KnownRun(RunUsage usage, long ageNanos) {
	}

	private static final class Run {

		private final TreeMap<Long, Map<String, Long>> windows = new TreeMap<>();

		private long heardAt;

		private long completeUntil = Long.MIN_VALUE;

		private Run(long heardAt) {
			this.heardAt = heardAt;
		}

		private void add(UsageReport report) {
			Map<String, Long> counts = this.windows.computeIfAbsent(report.window(), (window) -> new HashMap<>());
			report.counts().forEach((customer, requests) -> counts.merge(customer, requests, Math::max));
			if (this.windows.size() > UsageCounter.MAX_WINDOWS) {
				this.windows.pollFirstEntry();
			}
		}

	}

}
