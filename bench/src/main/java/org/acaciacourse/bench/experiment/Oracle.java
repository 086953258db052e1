package org.acaciacourse.bench.experiment;

import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.AttemptOutcome;
import org.acaciacourse.core.dispatch.DispatchActions;
import org.acaciacourse.core.dispatch.Dispatcher;
import org.acaciacourse.core.dispatch.EndpointStatus;
import org.acaciacourse.core.dispatch.LoadReport;
import org.acaciacourse.core.dispatch.RequestInfo;
import org.acaciacourse.core.dispatch.queue.FairQueue;
import org.acaciacourse.core.model.Manifest;
import org.acaciacourse.core.model.Tier;

/**
 * The yardstick: one dispatcher for all entry VMs that knows the length of each answer,
 * the true load and speed of each engine, and which content crashes them. It keeps the
 * same rules as a policy: tiers, fair shares of customers, the share of the low tier, and
 * refusal of what cannot meet its target, which it knows exactly. It does not serve the
 * shortest first, which would starve the long answers.
 * <p>
 * Not thread safe: one experiment runs on one thread.
 */
final class Oracle implements Dispatcher {

	private static final double LOW_SHARE = 0.05;

	private static final double LEDGER_LIMIT = 2_000;

	private static final long TOKEN_NANOS = 33 * Timeline.MILLI;

	private static final long PROMPT_TOKEN_NANOS = 140_000L;

	private static final long MARGIN_NANOS = 150 * Timeline.MILLI;

	private final DispatchActions actions;

	private final World world;

	private final Map<Tier, FairQueue<Job>> queues = new EnumMap<>(Tier.class);

	private final Map<Long, Run> runs = new HashMap<>();

	private final Map<Long, Run> runOf = new HashMap<>();

	private final Set<Long> started = new HashSet<>();

	private final Map<String, Integer> loads = new HashMap<>();

	private double ledger;

	private int guaranteed;

	private long nextId;

	Oracle(DispatchActions actions, World world) {
		this.actions = actions;
		this.world = world;
		for (Tier tier : Tier.values()) {
			this.queues.put(tier, new FairQueue<>());
		}
	}

	@Override
	public void configure(Manifest manifest, long now) {
		this.actions.wakeAt(now + 1);
	}

	@Override
	public void endpointStatus(String endpoint, EndpointStatus status, long now) {
		place(now);
	}

	@Override
	public void loadReport(String endpoint, LoadReport report, long now) {
		// It sees the true load.
	}

	@Override
	public void prefixEvent(String endpoint, long prefixHash, boolean held, long now) {
		// Prefixes are worth little beside its other knowledge.
	}

	@Override
	public void requestArrived(RequestInfo request, long now) {
		Job job = job(request.id());
		if (job.poison) {
			this.actions.finish(request.id(), ResultCode.CRASHING_CONTENT, Optional.empty());
			return;
		}
		queue(job).add(flow(job), job);
		place(now);
	}

	@Override
	public void callerGone(long requestId, long now) {
		Run run = this.runOf.remove(requestId);
		if (run != null) {
			forget(run);
			return;
		}
		Job job = job(requestId);
		queue(job).remove(flow(job), job);
	}

	@Override
	public void tokensReceived(long attemptId, int count, long now) {
		Run run = this.runs.get(attemptId);
		if (run != null) {
			boolean low = run.job.requestClass.tier() == Tier.LOW;
			this.ledger += LOW_SHARE * count - ((low) ? count : 0);
			this.ledger = Math.max(-LEDGER_LIMIT, Math.min(LEDGER_LIMIT, this.ledger));
		}
	}

	@Override
	public void attemptEnded(long attemptId, AttemptOutcome outcome, long now) {
		Run run = this.runs.get(attemptId);
		if (run != null) {
			forget(run);
			this.runOf.remove(run.job.info.id(), run);
			if (outcome != AttemptOutcome.COMPLETE) {
				queue(run.job).addFirst(flow(run.job), run.job);
			}
		}
		place(now);
	}

	private void forget(Run run) {
		this.runs.remove(run.id);
		this.loads.merge(run.engine.name, -1, Integer::sum);
		this.guaranteed -= (run.guaranteed) ? 1 : 0;
	}

	@Override
	public void suspectReported(long contentHash, int crashes, long now) {
		// It knows which content crashes engines.
	}

	@Override
	public void drain(long now) {
		// An experiment does not drain it.
	}

	@Override
	public void tick(long now) {
		place(now);
		this.actions.wakeAt(now + 20 * Timeline.MILLI);
	}

	private void place(long now) {
		FairQueue<Job> low = this.queues.get(Tier.LOW);
		while (low.size() > 0 && this.ledger > 0 && this.guaranteed < Math.max(1, LOW_SHARE * this.runs.size())) {
			FakeEngine engine = engineFor(low.oldest().get(), now);
			if (engine == null) {
				break;
			}
			dispatch(low.oldest().get(), engine, true);
		}
		for (Tier tier : Tier.values()) {
			serve(this.queues.get(tier), now);
		}
	}

	private void serve(FairQueue<Job> queue, long now) {
		Optional<Job> next = queue.oldest();
		while (next.isPresent()) {
			Job job = next.get();
			if (now > job.info.deadlineNanos()) {
				queue.remove(flow(job), job);
				this.actions.finish(job.info.id(), ResultCode.DEADLINE_EXCEEDED, Optional.empty());
			}
			else if (!this.started.contains(job.info.id()) && now + leastTime(job) > targetAt(job)) {
				queue.remove(flow(job), job);
				this.actions.finish(job.info.id(), ResultCode.TARGET_UNREACHABLE, Optional.of(Duration.ofSeconds(1)));
			}
			else {
				FakeEngine engine = engineFor(job, now);
				if (engine == null) {
					return;
				}
				dispatch(job, engine, false);
			}
			next = queue.oldest();
		}
	}

	private FakeEngine engineFor(Job job, long now) {
		FakeEngine best = null;
		double lowest = Double.MAX_VALUE;
		for (FakeEngine engine : this.world.engines) {
			int load = this.loads.getOrDefault(engine.name, 0);
			if (engine.up && load < engine.slots && (load + 1) * engine.slow < lowest) {
				lowest = (load + 1) * engine.slow;
				best = engine;
			}
		}
		return (best != null) ? best : preempt(job);
	}

	private FakeEngine preempt(Job job) {
		Run victim = null;
		for (Run run : this.runs.values()) {
			Tier tier = run.job.requestClass.tier();
			boolean lower = job.requestClass.tier().outranks(tier) && !run.guaranteed && !run.cancelled;
			if (lower && run.engine.up && run.engine.slow <= 1 && isBetterVictim(run, victim)) {
				victim = run;
			}
		}
		if (victim == null) {
			return null;
		}
		victim.cancelled = true;
		this.actions.cancel(victim.id);
		return victim.engine;
	}

	private static boolean isBetterVictim(Run run, Run other) {
		if (other == null) {
			return true;
		}
		int byTier = run.job.requestClass.tier().compareTo(other.job.requestClass.tier());
		return byTier > 0 || (byTier == 0 && run.left() > other.left());
	}

	private void dispatch(Job job, FakeEngine engine, boolean guaranteed) {
		queue(job).serve(flow(job), job, job.length);
		Run run = new Run(++this.nextId, job, engine, guaranteed);
		this.runs.put(run.id, run);
		this.runOf.put(job.info.id(), run);
		this.started.add(job.info.id());
		this.loads.merge(engine.name, 1, Integer::sum);
		this.guaranteed += (guaranteed) ? 1 : 0;
		int priority = (guaranteed) ? 0 : job.requestClass.tier().enginePriority();
		this.actions.dispatch(
				new DispatchActions.Attempt(run.id, job.info.id(), engine.name, priority, job.delivered, "oracle"));
	}

	private static long targetAt(Job job) {
		return job.arrivedAt + job.requestClass.target().limit().toNanos();
	}

	private static long leastTime(Job job) {
		long prompt = job.info.promptTokens() * PROMPT_TOKEN_NANOS;
		long tokens = switch (job.requestClass.target().kind()) {
			case FIRST_TOKEN -> TOKEN_NANOS;
			case WHOLE_ANSWER -> TOKEN_NANOS * job.length;
		};
		return prompt + tokens + MARGIN_NANOS;
	}

	private Job job(long requestId) {
		return this.world.jobs.get(requestId);
	}

	private FairQueue<Job> queue(Job job) {
		return this.queues.get(job.requestClass.tier());
	}

	private static String flow(Job job) {
		return job.info.customer();
	}

	/** A job at an engine. */
	private static final class Run {

		private final long id;

		private final Job job;

		private final FakeEngine engine;

		private final boolean guaranteed;

		private boolean cancelled;

		private Run(long id, Job job, FakeEngine engine, boolean guaranteed) {
			this.id = id;
			this.job = job;
			this.engine = engine;
			this.guaranteed = guaranteed;
		}

		private int left() {
			return this.job.length - this.job.delivered;
		}

	}

}
