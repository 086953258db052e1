package org.acaciacourse.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;

/**
 * Continuous batching: in each step every running request gets one token, and free slots
 * are filled by priority, then by arrival. A step takes longer with more requests in the
 * batch. Follows the iteration-level scheduling of Orca (Yu et al., 2022).
 * <p>
 * Thread safe: a thread of its own changes all state, tasks reach it through a bounded
 * ring, and what other threads read is volatile or synchronized.
 */
final class Batch implements Runnable {

	static final int CRASH_STATUS = 137;

	private static final int RING = 4_096;

	private static final int REMEMBERED = 8_192;

	private static final double GROWTH_PER_REQUEST = 0.02;

	private static final double CACHED_PREFILL = 0.1;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long IDLE_NANOS = 100 * NANOS_PER_MILLI;

	private final MpscBlockingConsumerArrayQueue<Runnable> tasks = new MpscBlockingConsumerArrayQueue<>(RING);

	private final long startedMillis = System.currentTimeMillis();

	private final List<Run> queued = new ArrayList<>();

	private final List<Run> running = new ArrayList<>();

	private final Map<String, Run> known = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Run> eldest) {
			return size() > REMEMBERED;
		}
	};

	private final EngineOptions.Pace pace;

	private final PrefixCache cache;

	private final RunLog runLog;

	private volatile Faults faults;

	private volatile Load load = new Load(0, 0, 0, System.nanoTime());

	private volatile boolean draining;

	private boolean stopped;

	Batch(EngineOptions.Pace pace, Faults faults, PrefixCache cache, RunLog runLog) {
		this.faults = faults;
		this.pace = pace;
		this.cache = cache;
		this.runLog = runLog;
	}

	Faults faults() {
		return this.faults;
	}

	void faults(Faults newFaults) {
		this.faults = newFaults;
	}

	/**
	 * Queue a run.
	 * @param run the run
	 * @param sink gets its tokens
	 * @param refused called instead if it will not be run
	 */
	void submit(Run run, AnswerSink sink, Runnable refused) {
		boolean taken = !this.draining && this.tasks.offer(() -> enqueue(run, sink, refused));
		if (!taken) {
			refused.run();
		}
	}

	/**
	 * Go on with a run whose connection broke or that was cancelled.
	 * @param id the id of the new attempt
	 * @param resumeOf the id of the run
	 * @param from the first token wanted
	 * @param sink gets the tokens from there on
	 * @param refused called instead if that cannot be
	 */
	void resume(String id, String resumeOf, int from, AnswerSink sink, Runnable refused) {
		boolean taken = this.tasks.offer(() -> reattach(id, resumeOf, from, sink, refused));
		if (!taken) {
			refused.run();
		}
	}

	/**
	 * Cancel a run.
	 * @param id its id
	 * @param done called once it is stopped
	 */
	void cancel(String id, Runnable done) {
		boolean taken = this.tasks.offer(() -> {
			find(id).ifPresent(this::cancel);
			done.run();
		});
		if (!taken) {
			done.run();
		}
	}

	Optional<Run> find(String id) {
		synchronized (this.known) {
			return Optional.ofNullable(this.known.get(id));
		}
	}

	ObjectNode loadReport() {
		Load report = this.load;
		long age = (this.faults.freezeLoad()) ? 0 : (System.nanoTime() - report.time) / NANOS_PER_MILLI;
		return JsonNodeFactory.instance.objectNode()
			.put("sequence", report.sequence)
			.put("running", report.running)
			.put("queued", report.queued)
			.put("age_ms", age)
			.put("started_ms", this.startedMillis);
	}

	/**
	 * Take no more runs, finish the others, then end the thread.
	 */
	void drain() {
		this.draining = true;
	}

	@Override
	public void run() {
		while (!this.stopped) {
			admit(System.nanoTime());
			long wait = (this.running.isEmpty()) ? IDLE_NANOS : stepNanos();
			takeTasksUntil(System.nanoTime() + wait);
			step(System.nanoTime());
			this.stopped = this.draining && this.tasks.isEmpty() && this.running.isEmpty() && this.queued.isEmpty();
		}
	}

	private void takeTasksUntil(long end) {
		boolean idle = this.running.isEmpty();
		long left = end - System.nanoTime();
		while (left > 0) {
			Runnable task = poll(left);
			if (task != null) {
				task.run();
			}
			if (idle && !this.queued.isEmpty()) {
				return;
			}
			left = end - System.nanoTime();
		}
	}

	private Runnable poll(long nanos) {
		try {
			return this.tasks.poll(nanos, TimeUnit.NANOSECONDS);
		}
		catch (InterruptedException ex) {
			this.draining = true;
			return null;
		}
	}

	private long stepNanos() {
		double growth = 1 + GROWTH_PER_REQUEST * (this.running.size() - 1);
		return (long) (this.pace.tokenMillis() * this.faults.slow() * growth * NANOS_PER_MILLI);
	}

	private void enqueue(Run run, AnswerSink sink, Runnable refused) {
		if (this.queued.size() >= this.pace.maxQueue()) {
			refused.run();
			return;
		}
		remember(run.prompt().id(), run);
		run.attach(sink, 0);
		this.queued.add(run);
	}

	private void reattach(String id, String resumeOf, int from, AnswerSink sink, Runnable refused) {
		Optional<Run> run = find(resumeOf).filter((known) -> known.canResumeFrom(from));
		if (run.isEmpty()) {
			refused.run();
			return;
		}
		this.runLog.add(resumeOf, run.get().prompt().key(), run.get().prompt().content(), true);
		remember(id, run.get());
		run.get().attach(sink, from);
		if (run.get().state() == Run.State.CANCELLED) {
			run.get().state(Run.State.QUEUED);
			this.queued.add(run.get());
		}
	}

	private void remember(String id, Run run) {
		synchronized (this.known) {
			this.known.put(id, run);
		}
	}

	private void cancel(Run run) {
		if (this.queued.remove(run) || this.running.remove(run)) {
			run.cancel();
		}
	}

	private void admit(long now) {
		dropAbandoned(this.queued, now);
		this.queued.sort(Comparator.comparingInt((run) -> run.prompt().priority()));
		while (this.running.size() < this.pace.slots() && !this.queued.isEmpty()) {
			begin(this.queued.remove(0), now);
		}
		report(now);
	}

	private void begin(Run run, long now) {
		if (run.produced() == 0) {
			this.runLog.add(run.prompt().id(), run.prompt().key(), run.prompt().content(), false);
		}
		if (this.faults.crashes(run.prompt().content())) {
			Runtime.getRuntime().halt(CRASH_STATUS);
		}
		boolean cached = this.cache.use(run.prompt().prefix(), run.prompt().content().length(), now);
		double prefill = this.pace.prefillMillis() * ((cached) ? CACHED_PREFILL : 1) * this.faults.slow();
		run.begin(now + (long) (prefill * NANOS_PER_MILLI));
		this.running.add(run);
	}

	private void step(long now) {
		for (Run run : this.running) {
			if (run.isReady(now)) {
				run.step();
			}
		}
		this.running.removeIf((run) -> run.state() == Run.State.FINISHED);
		dropAbandoned(this.running, now);
	}

	private void dropAbandoned(List<Run> runs, long now) {
		long bound = this.pace.detachedMillis() * NANOS_PER_MILLI;
		for (Iterator<Run> each = runs.iterator(); each.hasNext();) {
			Run run = each.next();
			if (run.isAbandoned(now, bound)) {
				each.remove();
				run.cancel();
			}
		}
	}

	private void report(long now) {
		boolean due = now - this.load.time >= this.pace.loadLagMillis() * NANOS_PER_MILLI;
		if (due && !this.faults.freezeLoad()) {
			this.load = new Load(this.load.sequence + 1, this.running.size(), this.queued.size(), now);
		}
	}

	private record Load(long sequence, int running, int queued, long time) {
	}

}
