package org.acaciacourse.core.balance;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Loads that pools have to endure: one kind of request at a multiple of its rate, and all
 * entry VMs starting at once without any observation, with empty caches.
 */
class AdmissionLoadTests {

	private static final List<AdmissionLoad.Kind> FIRST_KINDS = List.of(
			new AdmissionLoad.Kind("summaries", 13_300, 3_720, 300, 17, 126, 2, true, 1_527, 8_145),
			new AdmissionLoad.Kind("drafts", 6_300, 2_890, 200, 7, 88, 1, false, 519, 5_191),
			new AdmissionLoad.Kind("short", 350, 1_110, 50, 25, 123, 0, false, 311, 10_374));

	private static final List<AdmissionLoad.Kind> SECOND_KINDS = List.of(
			new AdmissionLoad.Kind("long", 13_300, 3_720, 300, 20, 156, 0, true, 1_536, 8_193),
			new AdmissionLoad.Kind("drafts", 6_300, 2_890, 200, 9, 84, 0, true, 526, 5_255),
			new AdmissionLoad.Kind("short", 350, 1_110, 50, 29, 100, 0, true, 315, 10_498));

	private static final AdmissionLoad.Deployment FIRST = new AdmissionLoad.Deployment(88, 98, 93,
			new double[] { 1.3, 1, 1, 1 }, false, FIRST_KINDS);

	private static final AdmissionLoad.Deployment SECOND = new AdmissionLoad.Deployment(76, 98, 56.6,
			new double[] { 0.55, 1.2, 1.2, 1.2 }, true, SECOND_KINDS);

	private static final AdmissionLoad.Deployment EQUAL_SPEEDS = new AdmissionLoad.Deployment(76, 98, 56.6,
			new double[] { 1, 1, 1, 1 }, true, SECOND_KINDS);

	private static AdmissionLoad.Counts burst(AdmissionLoad.Deployment deployment, AdmissionLoad.Mode mode, int from,
			double factor) {
		AdmissionLoad load = new AdmissionLoad(deployment, mode, 1);
		load.run(from + 12_000,
				(kind, milli) -> (kind.sharedTokens() > 10_000 && milli >= from && milli < from + 9_000) ? factor : 1);
		return load.counts;
	}

	private static AdmissionLoad.Counts powerLoss(AdmissionLoad.Deployment deployment, AdmissionLoad.Mode mode,
			double seconds) {
		AdmissionLoad load = new AdmissionLoad(deployment, mode, 1);
		load.arriveAtOnce(seconds);
		load.run(6_000, (kind, milli) -> 1);
		return load.counts;
	}

	private static int highest(Map<Integer, Integer> bySecond) {
		return bySecond.values().stream().mapToInt(Integer::intValue).max().orElse(0);
	}

	/* A burst that the engines can serve must not be refused for a wrong estimate. */
	@Test
	void burstOfOneKindIsServed() {
		for (AdmissionLoad.Deployment deployment : List.of(FIRST, SECOND)) {
			AdmissionLoad.Counts counts = burst(deployment, AdmissionLoad.Mode.ADMISSION, 5_000, 2.7);
			AdmissionLoad.Counts oracle = burst(deployment, AdmissionLoad.Mode.ORACLE, 5_000, 2.7);
			assertThat(counts.pastDeadlineShare()).isAtMost(0.02);
			assertThat(counts.onTime).isAtLeast(oracle.onTime * 95 / 100);
			assertThat(counts.refusedWhileIdle).isEqualTo(0);
		}
	}

	/* In the first seconds of a burst at cold VMs, requests ran until their deadline. */
	@Test
	void burstAtColdVmsIsServed() {
		AdmissionLoad.Counts counts = burst(SECOND, AdmissionLoad.Mode.ADMISSION, 0, 2.7);
		AdmissionLoad.Counts oracle = burst(SECOND, AdmissionLoad.Mode.ORACLE, 0, 2.7);
		assertThat(counts.onTime).isAtLeast(oracle.onTime * 95 / 100);
		assertThat(highest(counts.returns)).isAtMost(highest(counts.arrivals));
	}

	@Test
	void fewRequestsOfABurstAtColdVmsRunUntilTheirDeadline() {
		AdmissionLoad.Counts counts = burst(SECOND, AdmissionLoad.Mode.ADMISSION, 0, 2.7);
		assertThat(counts.pastDeadlineShare()).isAtMost(0.02);
	}

	@Test
	void fewRequestsRunUntilTheirDeadlineAfterALossOfPower() {
		for (AdmissionLoad.Deployment deployment : List.of(FIRST, SECOND, EQUAL_SPEEDS)) {
			AdmissionLoad.Counts counts = powerLoss(deployment, AdmissionLoad.Mode.ADMISSION, 4);
			AdmissionLoad.Counts without = powerLoss(deployment, AdmissionLoad.Mode.NONE, 4);
			assertThat(counts.pastDeadlineShare()).isAtMost(0.02);
			assertThat(counts.onTime).isAtLeast(without.onTime * 95 / 100);
			assertThat(highest(counts.returns)).isAtMost(highest(counts.arrivals) / 2);
		}
	}

	@Test
	void asManyAreOnTimeAfterALossOfPowerAsAnOracleServes() {
		AdmissionLoad.Counts counts = powerLoss(SECOND, AdmissionLoad.Mode.ADMISSION, 4);
		AdmissionLoad.Counts oracle = powerLoss(SECOND, AdmissionLoad.Mode.ORACLE, 4);
		assertThat(counts.onTime).isAtLeast(oracle.onTime * 95 / 100);
	}

	/*
	 * Twelve seconds of requests at once are more than the engines prefill within any
	 * deadline. Without admission, every eighth request runs until its deadline.
	 */
	@Test
	void backlogBeyondAllDeadlinesIsRefused() {
		AdmissionLoad.Counts counts = powerLoss(SECOND, AdmissionLoad.Mode.ADMISSION, 12);
		AdmissionLoad.Counts without = powerLoss(SECOND, AdmissionLoad.Mode.NONE, 12);
		assertThat(counts.pastDeadline).isLessThan(without.pastDeadline / 2);
		assertThat(counts.onTime).isAtLeast(without.onTime);
		assertThat(highest(counts.returns)).isAtMost(highest(counts.arrivals) / 2);
	}

}
