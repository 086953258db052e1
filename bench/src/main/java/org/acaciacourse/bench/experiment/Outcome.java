package org.acaciacourse.bench.experiment;

import java.util.Map;
import java.util.TreeMap;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.measure.WilsonInterval;

/**
 * What one or several runs of an experiment came to. Counts are whole numbers, so that
 * they are the same on every machine.
 * <p>
 * Not thread safe: filled by one thread.
 */
public final class Outcome {

	/** Results by group of requests. */
	final Map<String, Group> groups = new TreeMap<>();

	/** What must never happen, with the number of times it did. */
	final Map<String, Integer> violations = new TreeMap<>();

	long goodTokens;

	long computedTokens;

	long wastedTokens;

	long seconds;

	/** The least share of the low tier in a full minute of a burst. */
	double leastLowShare = Double.NaN;

	/** The fewest low-tier tokens in a minute after the first. */
	long leastLowTokens = Long.MAX_VALUE;

	static Outcome of(World world, Scenario scenario) {
		Outcome outcome = new Outcome();
		outcome.seconds = scenario.seconds - Scenario.WARM_UP_SECONDS;
		long from = Scenario.WARM_UP_SECONDS * Timeline.SECOND;
		for (Job job : world.jobs.values()) {
			if (job.arrivedAt >= from && job.arrivedAt <= world.now()) {
				outcome.add(job, world.now());
			}
		}
		outcome.violations.putAll(world.invariants.violations());
		for (int minute = 3; minute < scenario.seconds / 60 - 2; minute++) {
			long low = world.minutes[minute][0];
			double share = low / (double) Math.max(1, world.minutes[minute][1]);
			outcome.leastLowTokens = Math.min(outcome.leastLowTokens, low);
			outcome.leastLowShare = (outcome.leastLowShare <= share) ? outcome.leastLowShare : share;
		}
		return outcome;
	}

	private void add(Job job, long now) {
		this.computedTokens += job.computed;
		if (job.isAnswered()) {
			this.goodTokens += job.length;
			this.wastedTokens += Math.max(0, job.computed - job.length);
		}
		else if (!job.isOpen()) {
			this.wastedTokens += job.computed;
		}
		boolean decided = !job.isOpen() || now - job.arrivedAt > job.requestClass.target().limit().toNanos();
		if (!job.poison && decided) {
			Group group = this.groups.computeIfAbsent(job.group, (name) -> new Group());
			group.samples++;
			group.attained += (job.attained()) ? 1 : 0;
			group.answered += (job.isAnswered()) ? 1 : 0;
			if (job.code != null && job.code != ResultCode.OK) {
				group.refusals.merge(job.code, 1, Integer::sum);
			}
		}
	}

	void merge(Outcome other) {
		other.groups.forEach((name, group) -> this.groups.computeIfAbsent(name, (n) -> new Group()).merge(group));
		other.violations.forEach((name, count) -> this.violations.merge(name, count, Integer::sum));
		this.goodTokens += other.goodTokens;
		this.computedTokens += other.computedTokens;
		this.wastedTokens += other.wastedTokens;
		this.seconds += other.seconds;
		this.leastLowTokens = Math.min(this.leastLowTokens, other.leastLowTokens);
		this.leastLowShare = (this.leastLowShare <= other.leastLowShare) ? this.leastLowShare : other.leastLowShare;
	}

	/**
	 * Return the share of a group that met its target.
	 * @param group the group
	 * @return the attainment, 0 to 1
	 */
	public double attainment(String group) {
		return this.groups.containsKey(group) ? this.groups.get(group).attainment() : 0;
	}

	/**
	 * Return the tokens of whole answers a second.
	 * @return the goodput
	 */
	public double goodput() {
		return this.goodTokens / (double) Math.max(1, this.seconds);
	}

	/**
	 * Return the share of computed tokens that were thrown away.
	 * @return the waste, 0 to 1
	 */
	public double waste() {
		return this.wastedTokens / (double) Math.max(1, this.computedTokens);
	}

	/** Counts of one group. */
	static final class Group {

		final Map<ResultCode, Integer> refusals = new TreeMap<>();

		long samples;

		long attained;

		long answered;

		double attainment() {
			return this.attained / (double) Math.max(1, this.samples);
		}

		WilsonInterval interval() {
			return WilsonInterval.of(this.attained, this.samples);
		}

		private void merge(Group other) {
			this.samples += other.samples;
			this.attained += other.attained;
			this.answered += other.answered;
			other.refusals.forEach((code, count) -> this.refusals.merge(code, count, Integer::sum));
		}

	}

}
