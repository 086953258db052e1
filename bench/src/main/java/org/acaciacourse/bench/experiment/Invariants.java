package org.acaciacourse.bench.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.AttemptOutcome;
import org.acaciacourse.core.dispatch.DispatchActions.Attempt;
import org.acaciacourse.core.model.Tier;

/**
 * Watches each step of an experiment and counts what must never happen, by name. It keeps
 * its own books and asks the dispatchers nothing.
 * <p>
 * Not thread safe: one experiment runs on one thread.
 */
final class Invariants {

	/** A lower request started in the place of a refused higher one. */
	static final String LOWER_IN_PLACE = "lower started in the place of a refused one";

	/** Something lower waited when a higher one was refused for lack of room. */
	static final String LOWER_WAITING = "lower waited while a higher one was shed";

	/** A run was cancelled for no higher one. */
	static final String PREEMPTED_FOR_NOTHING = "preempted for no higher tier";

	/** A request got a second final answer. */
	static final String SECOND_ANSWER = "second final answer";

	/** An engine was idle while a request waited. */
	static final String IDLE_ENGINE = "engine idle while a request waited";

	/** A retry went to the endpoint that had failed. */
	static final String SAME_ENDPOINT = "retry at the same endpoint";

	/** An attempt was made after the deadline. */
	static final String AFTER_DEADLINE = "attempt after the deadline";

	/** A content crashed more than two engines. */
	static final String THIRD_CRASH = "third crash by one content";

	/** Two attempts of one request ran at the same time. */
	static final String TWO_AT_ONCE = "two attempts at once";

	private static final long PLACE_NANOS = 5 * Timeline.SECOND;

	private static final long IDLE_NANOS = 1_500 * Timeline.MILLI;

	private static final long SUSPICION_NANOS = 20 * Timeline.SECOND;

	private final World world;

	private final boolean tiers;

	private final Map<String, Integer> violations = new TreeMap<>();

	private final Map<Long, Seen> open = new HashMap<>();

	private final List<Map<Tier, Set<Long>>> waiting = new ArrayList<>();

	private final Map<Integer, Refused> refused = new HashMap<>();

	private final Map<Long, Integer> crashes = new HashMap<>();

	private long suspicionUntil;

	private Preempted preempted;

	Invariants(World world, boolean tiers) {
		this.world = world;
		this.tiers = tiers;
		for (int i = 0; i < world.site.entries; i++) {
			Map<Tier, Set<Long>> sets = new TreeMap<>();
			for (Tier tier : Tier.values()) {
				sets.put(tier, new HashSet<>());
			}
			this.waiting.add(sets);
		}
	}

	Map<String, Integer> violations() {
		return this.violations;
	}

	void arrived(Entry entry, Job job) {
		this.open.put(job.info.id(), new Seen(this.world.now()));
		waiting(entry, job).add(job.info.id());
	}

	void resent(Job job) {
		this.open.remove(job.info.id());
		this.waiting.forEach((sets) -> sets.get(job.requestClass.tier()).remove(job.info.id()));
	}

	void dispatched(Entry entry, Attempt attempt, Job job) {
		Seen seen = this.open.get(job.info.id());
		waiting(entry, job).remove(job.info.id());
		violation(seen == null, SECOND_ANSWER);
		if (seen == null) {
			return;
		}
		violation(seen.running, TWO_AT_ONCE);
		violation(attempt.endpoint().equals(seen.failedAt), SAME_ENDPOINT);
		violation(this.world.now() > job.info.deadlineNanos(), AFTER_DEADLINE);
		seen.running = true;
		boolean guaranteed = attempt.enginePriority() < job.requestClass.tier().enginePriority();
		Refused last = this.refused.get(entry.index);
		boolean inPlace = last != null && last.tier.outranks(job.requestClass.tier()) && this.world.now() < last.until;
		violation(this.tiers && inPlace && !guaranteed, LOWER_IN_PLACE);
		if (this.preempted != null && this.preempted.isFor(entry, this.world.now())) {
			violation(this.tiers && !job.requestClass.tier().outranks(this.preempted.tier), PREEMPTED_FOR_NOTHING);
			this.preempted = null;
		}
	}

	void cancelled(Entry entry, Job job) {
		if (this.open.containsKey(job.info.id()) && this.world.now() > this.suspicionUntil) {
			this.preempted = new Preempted(entry, job.requestClass.tier(), this.world.now());
		}
	}

	void ended(Entry entry, FakeEngine.Task task, AttemptOutcome outcome) {
		Job job = task.job;
		Seen seen = this.open.get(job.info.id());
		if (outcome == AttemptOutcome.CRASHED) {
			this.suspicionUntil = this.world.now() + SUSPICION_NANOS;
			if (job.poison) {
				violation(this.crashes.merge(job.info.contentHash(), 1, Integer::sum) > 2, THIRD_CRASH);
			}
		}
		if (seen != null && outcome != AttemptOutcome.COMPLETE) {
			seen.running = false;
			seen.since = this.world.now();
			seen.failedAt = (outcome == AttemptOutcome.CANCELLED) ? "" : task.engine.name;
			waiting(entry, job).add(job.info.id());
		}
	}

	void refused(Entry entry, Job job, ResultCode code) {
		waiting(entry, job).remove(job.info.id());
		Tier tier = job.requestClass.tier();
		boolean room = code == ResultCode.QUEUE_FULL || code == ResultCode.SHED;
		for (Tier lower : Tier.values()) {
			boolean waits = tier.outranks(lower) && !this.waiting.get(entry.index).get(lower).isEmpty();
			violation(this.tiers && room && waits, LOWER_WAITING);
		}
		if (room || code == ResultCode.TARGET_UNREACHABLE) {
			long target = job.arrivedAt + job.requestClass.target().limit().toNanos();
			long until = Math.min(target, this.world.now() + PLACE_NANOS);
			Refused last = this.refused.get(entry.index);
			if (last == null || last.until < until || tier.outranks(last.tier)) {
				this.refused.put(entry.index, new Refused(tier, until));
			}
		}
	}

	void answered(Job job, ResultCode code) {
		violation(this.open.remove(job.info.id()) == null, SECOND_ANSWER);
	}

	// Look for idle engines; called several times a second.
	void check() {
		if (this.world.now() < this.suspicionUntil || !isWorkOld()) {
			return;
		}
		for (FakeEngine engine : this.world.engines) {
			boolean idle = engine.up && engine.isIdle() && this.world.now() - engine.idleSince > IDLE_NANOS;
			violation(this.tiers && idle, IDLE_ENGINE);
		}
	}

	private boolean isWorkOld() {
		for (Map<Tier, Set<Long>> sets : this.waiting) {
			for (Set<Long> ids : sets.values()) {
				for (long id : ids) {
					Seen seen = this.open.get(id);
					if (seen != null && this.world.now() - seen.since > IDLE_NANOS) {
						return true;
					}
				}
			}
		}
		return false;
	}

	private Set<Long> waiting(Entry entry, Job job) {
		return this.waiting.get(entry.index).get(job.requestClass.tier());
	}

	private void violation(boolean happened, String name) {
		if (happened) {
			this.violations.merge(name, 1, Integer::sum);
		}
	}

	/** An open request. */
	private static final class Seen {

		private long since;

		private boolean running;

		private String failedAt = "";

		private Seen(long since) {
			this.since = since;
		}

	}

	/** The highest refusal whose place is not past. */
	private record Refused(Tier tier, long until) {
	}

	/** A cancelled run that awaits its reason. */
	private record Preempted(Entry entry, Tier tier, long at) {

		boolean isFor(Entry other, long now) {
			return this.entry == other && this.at == now;
		}

	}

}
