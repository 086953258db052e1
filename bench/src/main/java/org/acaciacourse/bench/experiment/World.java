package org.acaciacourse.bench.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.AttemptOutcome;
import org.acaciacourse.core.dispatch.EndpointStatus;
import org.acaciacourse.core.dispatch.LoadReport;
import org.acaciacourse.core.dispatch.PolicyDispatcher;
import org.acaciacourse.core.model.Tier;

/**
 * One experiment: engines, entry VMs with their dispatchers, callers, and what lies
 * between them. Load reports and membership lag, tokens and commands take their time.
 * <p>
 * Not thread safe: one experiment runs on one thread.
 */
final class World implements FakeEngine.Listener {

	private static final long REPORT_NANOS = 500 * Timeline.MILLI;

	private static final long REPORT_LAG_NANOS = 250 * Timeline.MILLI;

	private static final long MEMBERSHIP_LAG_NANOS = 2 * Timeline.SECOND;

	private static final long RESTART_NANOS = 30 * Timeline.SECOND;

	private static final long RESEND_NANOS = Timeline.SECOND;

	private static final long PREFIX_LAG_NANOS = 2 * Timeline.SECOND;

	private static final long SUSPECT_LAG_NANOS = 100 * Timeline.MILLI;

	private static final double PREFIX_GAPS = 0.1;

	private static final int DRAIN_SECONDS = 150;

	final Timeline timeline = new Timeline();

	final Site site;

	final List<FakeEngine> engines = new ArrayList<>();

	final List<Entry> entries = new ArrayList<>();

	final Map<Long, Job> jobs = new HashMap<>();

	final Invariants invariants;

	/** Tokens of the low tier and all tokens in each minute. */
	final long[][] minutes;

	private final Scenario scenario;

	private final Contender contender;

	private final SplittableRandom random;

	World(Site site, Scenario scenario, Contender contender, long seed) {
		this.site = site;
		this.scenario = scenario;
		this.contender = contender;
		this.random = new SplittableRandom(seed);
		this.minutes = new long[scenario.seconds / 60 + 5][2];
		this.invariants = new Invariants(this, contender.heedsTiers());
		for (int i = 0; i < site.engines; i++) {
			this.engines.add(new FakeEngine(Site.engineName(i), Site.SLOTS, this.timeline, this));
		}
		int dispatchers = switch (contender.sharing()) {
			case INDEPENDENT -> site.entries;
			case OWNERS -> site.owners();
			case ORACLE -> 1;
		};
		for (int i = 0; i < dispatchers; i++) {
			this.entries.add(new Entry(i, this, contender, seed));
		}
		this.entries
			.forEach((entry) -> entry.start((contender.sharing() == Contender.Sharing.OWNERS) ? 1 : dispatchers));
	}

	// Run the whole experiment.
	void run(List<Job> arrivals) {
		for (Job job : arrivals) {
			this.jobs.put(job.info.id(), job);
			this.timeline.at(job.arrivedAt, () -> arrive(job));
		}
		for (int i = 0; i < this.engines.size(); i++) {
			FakeEngine engine = this.engines.get(i);
			this.timeline.at(i * REPORT_NANOS / this.engines.size(), () -> report(engine));
		}
		this.scenario.faults(this);
		this.timeline.at(Timeline.SECOND, this::check);
		this.timeline.runUntil((this.scenario.seconds + DRAIN_SECONDS) * Timeline.SECOND);
	}

	long now() {
		return this.timeline.now();
	}

	FakeEngine engine(String name) {
		return this.engines.stream().filter((engine) -> engine.name.equals(name)).findFirst().orElseThrow();
	}

	// Return the way from an entry VM to an engine and back.
	long wayNanos(int entry, FakeEngine engine) {
		boolean near = entry % Site.DATA_CENTRES == this.engines.indexOf(engine) % Site.DATA_CENTRES;
		return 2 * ((near) ? this.site.delayNanos / 5 : this.site.delayNanos);
	}

	private void arrive(Job job) {
		if (this.contender.sharing() == Contender.Sharing.OWNERS) {
			this.timeline.after(this.site.delayNanos, () -> forward(job));
			return;
		}
		do {
			job.entry = this.random.nextInt(this.site.entries);
		}
		while (!entryOf(job).alive);
		entryOf(job).arrive(job);
	}

	private void forward(Job job) {
		int one = this.random.nextInt(this.entries.size());
		int two = this.random.nextInt(this.entries.size());
		job.entry = (openAt(one) <= openAt(two)) ? one : two;
		this.entries.get(job.entry).arrive(job);
	}

	private double openAt(int owner) {
		int engines = (this.engines.size() - owner + this.entries.size() - 1) / this.entries.size();
		PolicyDispatcher dispatcher = (PolicyDispatcher) this.entries.get(owner).dispatcher;
		return dispatcher.openRequestCount() / (double) engines;
	}

	Entry entryOf(Job job) {
		return this.entries.get((this.contender.isCentral()) ? 0 : job.entry);
	}

	private void check() {
		this.invariants.check();
		this.timeline.after(Timeline.SECOND / 4, this::check);
	}

	private void report(FakeEngine engine) {
		if (engine.up) {
			LoadReport report = engine.report(REPORT_LAG_NANOS);
			this.timeline.after(REPORT_LAG_NANOS,
					() -> each((entry) -> entry.dispatcher.loadReport(engine.name, report, now())));
		}
		this.timeline.after(REPORT_NANOS, () -> report(engine));
	}

	private void each(Consumer<Entry> action) {
		this.entries.stream().filter((entry) -> entry.alive).forEach(action);
	}

	void publishSuspect(Entry from, long content, int crashes) {
		this.timeline.after(SUSPECT_LAG_NANOS, () -> each((entry) -> {
			if (entry != from) {
				entry.dispatcher.suspectReported(content, crashes, now());
			}
		}));
	}

	// Faults

	void at(double seconds, Runnable action) {
		this.timeline.at((long) (seconds * Timeline.SECOND), action);
	}

	void slow(int count, double factor) {
		for (int i = 0; i < count; i++) {
			this.engines.get(i).slow = factor;
		}
	}

	void freeze(boolean frozen) {
		this.engines.forEach((engine) -> engine.frozen = frozen);
	}

	void crash(int index) {
		FakeEngine engine = this.engines.get(index);
		engine.crash();
		crashed(engine);
	}

	void loseEntry(int index) {
		if (!this.contender.isCentral()) {
			this.entries.get(index).alive = false;
		}
		this.engines.forEach(
				(engine) -> engine.tasks().stream().filter((task) -> task.job.entry == index).forEach(engine::cancel));
		for (Job job : List.copyOf(this.jobs.values())) {
			if (job.entry == index && job.isOpen() && job.arrivedAt <= now()) {
				this.timeline.after(RESEND_NANOS, () -> resend(job));
			}
		}
		int left = this.site.entries - 1;
		this.timeline.after(MEMBERSHIP_LAG_NANOS, () -> each((entry) -> entry.entryCount(left)));
	}

	// The caller of a lost entry VM has only part of an answer and asks again.
	private void resend(Job job) {
		if (this.contender.isCentral()) {
			entryOf(job).dispatcher.callerGone(job.info.id(), now());
		}
		job.delivered = 0;
		job.firstTokenAt = -1;
		job.doneAt = -1;
		job.code = null;
		this.invariants.resent(job);
		arrive(job);
	}

	// What engines tell

	@Override
	public void token(FakeEngine.Task task) {
		Job job = task.job;
		if (job.firstTokenAt < 0) {
			job.firstTokenAt = now();
		}
		job.delivered = Math.max(job.delivered, task.position);
		long[] minute = this.minutes[(int) (now() / (60 * Timeline.SECOND))];
		minute[0] += (job.requestClass.tier() == Tier.LOW) ? 1 : 0;
		minute[1]++;
		Entry entry = this.entries.get(task.entry);
		if (entry.alive) {
			entry.dispatcher.tokensReceived(task.attemptId, 1, now());
		}
	}

	@Override
	public void ended(FakeEngine.Task task, AttemptOutcome outcome) {
		Entry entry = this.entries.get(task.entry);
		if (!entry.alive) {
			return;
		}
		if (outcome == AttemptOutcome.COMPLETE) {
			answer(task.job, ResultCode.OK);
		}
		entry.ended(task, outcome);
	}

	@Override
	public void crashed(FakeEngine engine) {
		this.timeline.after(MEMBERSHIP_LAG_NANOS,
				() -> each((entry) -> entry.dispatcher.endpointStatus(engine.name, EndpointStatus.GONE, now())));
		this.timeline.after(RESTART_NANOS, () -> engine.restart(MEMBERSHIP_LAG_NANOS));
		this.timeline.after(RESTART_NANOS + MEMBERSHIP_LAG_NANOS,
				() -> each((entry) -> entry.dispatcher.endpointStatus(engine.name, EndpointStatus.LIVE, now())));
	}

	@Override
	public void prefix(FakeEngine engine, long hash, boolean held) {
		if (this.random.nextDouble() >= PREFIX_GAPS) {
			this.timeline.after(PREFIX_LAG_NANOS,
					() -> each((entry) -> entry.dispatcher.prefixEvent(engine.name, hash, held, now())));
		}
	}

	void answer(Job job, ResultCode code) {
		this.invariants.answered(job, code);
		job.doneAt = now();
		job.code = code;
	}

}
