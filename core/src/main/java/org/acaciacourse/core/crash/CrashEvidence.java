package org.acaciacourse.core.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The crashes that speak against a feature, and how likely it is that it met them by
 * chance: the rate of the other crashes in the pool times the time that a request with
 * the feature had been at the endpoint.
 * <p>
 * A part that many requests have is at several endpoints at a time, and several endpoints
 * may crash together for one reason. So a crash counts only if a request with the feature
 * was sent after the crash that counts before it, or if some time has passed between
 * them.
 * <p>
 * Immutable and thread safe, as long as the crashes that it was made from do not change.
 */
final class CrashEvidence {

	/** Crashes within this time tell how often endpoints of a pool crash. */
	static final long RATE_WINDOW_NANOS = 20_000_000_000L;

	/** Endpoints that crash for one reason do so within this time. */
	private static final long TOGETHER_NANOS = 200_000_000L;

	/**
	 * A feature is hardly at its crashes by chance if the chance is lower. Bounds how
	 * often sound requests are refused: some hundred requests are at endpoints at a time.
	 */
	private static final double MAX_CHANCE = 3e-6;

	/**
	 * Bounds the weight of a crash right after the request was sent: several endpoints
	 * may crash within this time for one reason.
	 */
	private static final int MIN_RUN_MILLIS = 50;

	private final List<LostRun> counted;

	private CrashEvidence(List<LostRun> counted) {
		this.counted = counted;
	}

	/**
	 * Weigh the crashes of a feature.
	 * @param runs the runs that no other feature explains
	 * @return the evidence
	 */
	static CrashEvidence of(Collection<LostRun> runs) {
		List<LostRun> counted = new ArrayList<>();
		runs.stream().sorted(Comparator.comparingLong(LostRun::lostAt)).forEach((run) -> {
			if (counted.isEmpty() || isAnother(run, counted.get(counted.size() - 1))) {
				counted.add(run);
			}
		});
		return new CrashEvidence(List.copyOf(counted));
	}

	private static boolean isAnother(LostRun run, LostRun before) {
		return run.sentAt() - before.lostAt() >= 0 || run.lostAt() - before.lostAt() >= TOGETHER_NANOS;
	}

	int crashes() {
		return this.counted.size();
	}

	LostRun last() {
		return this.counted.get(this.counted.size() - 1);
	}

	Set<Integer> endpoints() {
		return this.counted.stream().map((lost) -> lost.run().endpoint()).collect(Collectors.toSet());
	}

	/**
	 * Return whether the feature was hardly at its crashes by chance.
	 * @param feature the feature
	 * @param crashes all crashes that are known
	 * @return whether it is more likely that it caused them
	 */
	boolean isUnlikelyByChance(long feature, Collection<EndpointCrash> crashes) {
		double chance = 1;
		for (LostRun lost : this.counted) {
			double perEndpoint = (1.0 + otherCrashes(feature, lost, crashes)) / lost.run().poolSize();
			double share = Math.max(MIN_RUN_MILLIS, lost.run().millis()) * 1e6 / RATE_WINDOW_NANOS;
			chance *= Math.min(1, perEndpoint * share);
		}
		return chance <= MAX_CHANCE;
	}

	private static long otherCrashes(long feature, LostRun lost, Collection<EndpointCrash> crashes) {
		return crashes.stream()
			.filter((crash) -> crash.pool() == lost.run().pool()
					&& Math.abs(crash.at() - lost.lostAt()) < RATE_WINDOW_NANOS)
			.filter((crash) -> !crash.features().contains(feature) && !crash.isExplained())
			.count();
	}

	/**
	 * A run that ended with a crash.
	 *
	 * @param run the run
	 * @param lostAt when the endpoint crashed
	 */
	record LostRun(FeatureFact.Run run, long lostAt) {

		long sentAt() {
			return this.lostAt - this.run.millis() * 1_000_000L;
		}

	}

}
