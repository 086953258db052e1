package org.acaciacourse.bench.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.acaciacourse.core.dispatch.AttemptOutcome;
import org.acaciacourse.core.dispatch.LoadReport;

/**
 * A model engine with continuous batching: each step computes one token for every request
 * of the batch and a chunk of a prompt. A step takes longer the larger the batch. The
 * engine honours priorities, also by setting a running request aside, resumes and cancels
 * streams, keeps a bounded prefix cache, and reports its load with a lag.
 * <p>
 * Not thread safe: one experiment runs on one thread.
 */
final class FakeEngine {

	private static final long STEP_NANOS = 20 * Timeline.MILLI;

	private static final long STEP_PER_REQUEST_NANOS = 1_250_000L;

	private static final long PREFILL_PER_TOKEN_NANOS = 125_000L;

	private static final int PREFILL_CHUNK = 512;

	private static final int PREFIXES_KEPT = 24;

	private static final double PREFIX_SAVES = 0.6;

	private static final int MOST_WAITING = 256;

	private static final int POISON_TOKENS = 3;

	final String name;

	final int slots;

	/** How much slower than ordinary the engine is. */
	double slow = 1;

	boolean up = true;

	boolean frozen;

	int crashes;

	/** Tokens computed in all. */
	long computed;

	long idleSince;

	private final Timeline timeline;

	private final Listener listener;

	private final List<Task> batch = new ArrayList<>();

	private final List<Task> waiting = new ArrayList<>();

	private final Set<Long> prefixes = new LinkedHashSet<>();

	private long sequence;

	private boolean stepping;

	private int generation;

	FakeEngine(String name, int slots, Timeline timeline, Listener listener) {
		this.name = name;
		this.slots = slots;
		this.timeline = timeline;
		this.listener = listener;
	}

	// Return whether the engine took the task.
	Optional<AttemptOutcome> submit(Task task) {
		if (!this.up) {
			return Optional.of(AttemptOutcome.NOT_SENT);
		}
		if (this.waiting.size() >= MOST_WAITING) {
			return Optional.of(AttemptOutcome.REFUSED);
		}
		boolean cached = this.prefixes.contains(task.job.info.prefixHash());
		int prompt = task.job.info.promptTokens();
		task.prefillLeft = task.position + (int) (cached ? prompt * (1 - PREFIX_SAVES) : prompt);
		notePrefix(task.job.info.prefixHash());
		this.waiting.add(task);
		startStep();
		return Optional.empty();
	}

	void cancel(Task task) {
		this.batch.remove(task);
		this.waiting.remove(task);
		noteIdle();
	}

	boolean holds(Task task) {
		return this.batch.contains(task) || this.waiting.contains(task);
	}

	int load() {
		return this.batch.size() + this.waiting.size();
	}

	boolean isIdle() {
		return load() == 0;
	}

	List<Task> tasks() {
		List<Task> all = new ArrayList<>(this.batch);
		all.addAll(this.waiting);
		return all;
	}

	LoadReport report(long ageNanos) {
		this.sequence += (this.frozen) ? 0 : 1;
		return new LoadReport(this.sequence, this.batch.size(), this.waiting.size(), ageNanos);
	}

	void crash() {
		this.up = false;
		this.crashes++;
		this.generation++;
		this.stepping = false;
		List<Task> lost = tasks();
		this.batch.clear();
		this.waiting.clear();
		this.prefixes.clear();
		lost.forEach((task) -> this.listener.ended(task, AttemptOutcome.CRASHED));
	}

	void restart(long noticedNanos) {
		this.up = true;
		this.idleSince = this.timeline.now() + noticedNanos;
	}

	private void notePrefix(long hash) {
		if (hash == 0 || !this.prefixes.add(hash)) {
			return;
		}
		this.listener.prefix(this, hash, true);
		if (this.prefixes.size() > PREFIXES_KEPT) {
			Iterator<Long> oldest = this.prefixes.iterator();
			long dropped = oldest.next();
			oldest.remove();
			this.listener.prefix(this, dropped, false);
		}
	}

	private void noteIdle() {
		if (isIdle()) {
			this.idleSince = this.timeline.now();
		}
	}

	private void startStep() {
		if (this.stepping || isIdle()) {
			return;
		}
		this.stepping = true;
		fillBatch();
		int chunk = prefill();
		double nanos = STEP_NANOS + STEP_PER_REQUEST_NANOS * this.batch.size()
				+ PREFILL_PER_TOKEN_NANOS * (double) chunk;
		int started = this.generation;
		this.timeline.after((long) (nanos * this.slow), () -> endStep(started));
	}

	private void fillBatch() {
		this.waiting.sort(Comparator.comparingInt((Task task) -> task.priority));
		while (!this.waiting.isEmpty()) {
			Task next = this.waiting.get(0);
			if (this.batch.size() >= this.slots && !setAside(next.priority)) {
				return;
			}
			this.waiting.remove(next);
			this.batch.add(next);
		}
	}

	private boolean setAside(int priority) {
		Task lowest = this.batch.get(0);
		for (Task task : this.batch) {
			lowest = (task.priority >= lowest.priority) ? task : lowest;
		}
		if (lowest.priority <= priority) {
			return false;
		}
		this.batch.remove(lowest);
		this.waiting.add(lowest);
		return true;
	}

	private int prefill() {
		int left = PREFILL_CHUNK;
		for (int priority = 0; priority <= 2; priority++) {
			for (Task task : this.batch) {
				int part = (task.priority == priority) ? Math.min(left, task.prefillLeft) : 0;
				task.prefillLeft -= part;
				left -= part;
			}
		}
		return PREFILL_CHUNK - left;
	}

	private void endStep(int started) {
		if (started != this.generation) {
			return;
		}
		this.stepping = false;
		Set<Task> finished = new HashSet<>();
		for (Task task : List.copyOf(this.batch)) {
			if (task.prefillLeft > 0 || !this.batch.contains(task)) {
				continue;
			}
			task.position++;
			this.computed++;
			task.job.computed++;
			if (task.job.poison && task.position >= POISON_TOKENS) {
				crash();
				this.listener.crashed(this);
				return;
			}
			if (task.position >= task.job.length) {
				finished.add(task);
				this.batch.remove(task);
			}
			this.listener.token(task);
			if (finished.contains(task)) {
				this.listener.ended(task, AttemptOutcome.COMPLETE);
			}
		}
		noteIdle();
		startStep();
	}

	/** What the engine tells. */
	interface Listener {

		void token(Task task);

		void ended(Task task, AttemptOutcome outcome);

		void crashed(FakeEngine engine);

		void prefix(FakeEngine engine, long hash, boolean held);

	}

	/** An attempt as the engine sees it. */
	static final class Task {

		final Job job;

		final long attemptId;

		final int entry;

		final int priority;

		final FakeEngine engine;

		/** The tokens of the answer that are computed. */
		int position;

		int prefillLeft;

		Task(Job job, long attemptId, int entry, int priority, FakeEngine engine, int position) {
			this.job = job;
			this.attemptId = attemptId;
			this.entry = entry;
			this.priority = priority;
			this.engine = engine;
			this.position = position;
		}

	}

}
