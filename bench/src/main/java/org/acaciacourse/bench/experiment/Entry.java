package org.acaciacourse.bench.experiment;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.dispatch.AttemptOutcome;
import org.acaciacourse.core.dispatch.DispatchActions;
import org.acaciacourse.core.dispatch.Dispatcher;
import org.acaciacourse.core.dispatch.PolicyDispatcher;

/**
 * An entry VM: carries out what its dispatcher wants, through the time that the ways
 * take.
 * <p>
 * Not thread safe: one experiment runs on one thread.
 */
final class Entry implements DispatchActions {

	final int index;

	final Dispatcher dispatcher;

	boolean alive = true;

	private final World world;

	private final Contender contender;

	private final Map<Long, FakeEngine.Task> tasks = new HashMap<>();

	Entry(int index, World world, Contender contender, long seed) {
		this.index = index;
		this.world = world;
		this.contender = contender;
		this.dispatcher = contender.dispatcher(this, world, seed * 1_000 + index);
	}

	void start(int count) {
		this.dispatcher.configure(this.contender.manifest(this.world.site, this.index), 0);
		entryCount(count);
	}

	void entryCount(int count) {
		if (this.dispatcher instanceof PolicyDispatcher policy) {
			policy.entryPosition(this.index % count, count, this.world.now());
		}
	}

	void arrive(Job job) {
		this.world.invariants.arrived(this, job);
		this.dispatcher.requestArrived(job.info, this.world.now());
	}

	void ended(FakeEngine.Task task, AttemptOutcome outcome) {
		this.tasks.remove(task.attemptId);
		this.world.invariants.ended(this, task, outcome);
		this.dispatcher.attemptEnded(task.attemptId, outcome, this.world.now());
	}

	@Override
	public void dispatch(Attempt attempt) {
		Job job = this.world.jobs.get(attempt.requestId());
		FakeEngine engine = this.world.engine(attempt.endpoint());
		FakeEngine.Task task = new FakeEngine.Task(job, attempt.id(), this.index, attempt.enginePriority(), engine,
				attempt.resumeFrom());
		this.world.invariants.dispatched(this, attempt, job);
		this.tasks.put(attempt.id(), task);
		this.world.timeline.after(this.world.wayNanos(job.entry, engine), () -> submit(task));
	}

	private void submit(FakeEngine.Task task) {
		if (!this.alive || !this.tasks.containsKey(task.attemptId)) {
			return;
		}
		task.engine.submit(task).ifPresent((outcome) -> ended(task, outcome));
	}

	@Override
	public void cancel(long attemptId) {
		FakeEngine.Task task = this.tasks.get(attemptId);
		this.world.invariants.cancelled(this, task.job);
		this.world.timeline.after(this.world.wayNanos(task.job.entry, task.engine), () -> {
			if (this.alive && this.tasks.containsKey(attemptId)) {
				task.engine.cancel(task);
				ended(task, AttemptOutcome.CANCELLED);
			}
		});
	}

	@Override
	public void finish(long requestId, ResultCode code, Optional<Duration> retryAfter) {
		Job job = this.world.jobs.get(requestId);
		this.world.invariants.refused(this, job, code);
		this.world.answer(job, code);
	}

	@Override
	public void publishSuspect(long contentHash, int crashes) {
		this.world.publishSuspect(this, contentHash, crashes);
	}

	@Override
	public void wakeAt(long nanos) {
		this.world.timeline.at(nanos, () -> {
			if (this.alive) {
				this.dispatcher.tick(this.world.now());
			}
		});
	}

}
