package org.acaciacourse.bench.experiment;

import java.util.Arrays;
import java.util.Optional;

import org.acaciacourse.core.model.Tier;

/**
 * The situations that are measured. Shares are of the capacity of all engines.
 * <p>
 * Immutable and thread safe.
 */
public enum Scenario {

	/** Nothing special at seven tenths of the capacity. */
	STEADY("steady", 240, false) {

		@Override
		void load(Workload work) {
			base(work, this.seconds);
		}

	},

	/** One class alone needs twice the capacity for a minute. */
	BURST_2X("burst-2x", 240, false) {

		@Override
		void load(Workload work) {
			base(work, this.seconds);
			work.stream(Tier.HIGH, "", ALL, 80, 140, (t) -> 2.0);
		}

	},

	/** One class alone needs four times the capacity for a minute. */
	BURST_4X("burst-4x", 240, false) {

		@Override
		void load(Workload work) {
			base(work, this.seconds);
			work.stream(Tier.HIGH, "", ALL, 80, 140, (t) -> 4.0);
		}

	},

	/** A bank sends fifty candidates at once, four times. */
	FIFTY_CANDIDATES("fifty-candidates", 240, false) {

		@Override
		void load(Workload work) {
			base(work, this.seconds);
			for (int at = 80; at < 200; at += 30) {
				for (int i = 0; i < 50; i++) {
					work.add(Tier.HIGH, "", ONE, at);
				}
			}
		}

	},

	/** Questions rise to one and a half times the capacity towards a deadline. */
	TENDER_DEADLINE("tender-deadline", 240, false) {

		@Override
		void load(Workload work) {
			work.stream(Tier.HIGH, "", ALL, 0, 160, (t) -> 0.2 + 1.3 * Math.max(0, t - 60) / 100);
			work.stream(Tier.HIGH, "", ALL, 160, this.seconds, (t) -> 0.1);
			work.stream(Tier.MIDDLE, "", ALL, 0, this.seconds, (t) -> 0.3);
			work.stream(Tier.LOW, "", ALL, 0, this.seconds, (t) -> 0.15);
		}

	},

	/** Two engines run at a fifth of their speed for a while. */
	STRAGGLERS("stragglers", 240, true) {

		@Override
		void load(Workload work) {
			base(work, this.seconds);
		}

		@Override
		void faults(World world) {
			world.at(80, () -> world.slow(2, 5));
			world.at(180, () -> world.slow(2, 1));
		}

	},

	/** An engine crashes in a burst and comes back half a minute later. */
	CRASH_IN_BURST("crash-in-burst", 240, true) {

		@Override
		void load(Workload work) {
			base(work, this.seconds);
			work.stream(Tier.HIGH, "", ALL, 80, 140, (t) -> 0.5);
		}

		@Override
		void faults(World world) {
			world.at(100, () -> world.crash(0));
		}

	},

	/** All load reports freeze for two minutes at nine tenths of the capacity. */
	FROZEN_REPORTS("frozen-reports", 240, true) {

		@Override
		void load(Workload work) {
			work.stream(Tier.HIGH, "", ALL, 0, this.seconds, (t) -> 0.35);
			work.stream(Tier.MIDDLE, "", ALL, 0, this.seconds, (t) -> 0.35);
			work.stream(Tier.LOW, "", ALL, 0, this.seconds, (t) -> 0.2);
		}

		@Override
		void faults(World world) {
			world.at(80, () -> world.freeze(true));
			world.at(200, () -> world.freeze(false));
		}

	},

	/** An entry VM is lost; its callers come back to the others. */
	ENTRY_LOST("entry-lost", 240, true) {

		@Override
		void load(Workload work) {
			base(work, this.seconds);
		}

		@Override
		void faults(World world) {
			world.at(120, () -> world.loseEntry(0));
		}

	},

	/** A request crashes each engine that runs it, and its caller sends it again. */
	POISON_RESENT("poison-resent", 240, true) {

		@Override
		void load(Workload work) {
			base(work, this.seconds);
			for (int i = 0; i < 6; i++) {
				work.addPoison(Tier.MIDDLE, 80 + 12 * i, 0xBADL);
			}
		}

	},

	/** The upper tiers need more than the capacity for two hours. */
	OVERNIGHT("overnight", 7_500, false) {

		@Override
		void load(Workload work) {
			work.stream(Tier.LOW, "", ALL, 0, this.seconds, (t) -> 0.3);
			work.stream(Tier.HIGH, "", ALL, 0, this.seconds, (t) -> (inBurst(t)) ? 0.5 : 0.2);
			work.stream(Tier.MIDDLE, "", ALL, 0, this.seconds, (t) -> (inBurst(t)) ? 0.8 : 0.2);
		}

		private boolean inBurst(double seconds) {
			return seconds >= 150 && seconds < 7_350;
		}

	},

	/** One customer alone sends twice what fits, the others little. */
	LARGE_CUSTOMER("large-customer", 240, false) {

		@Override
		void load(Workload work) {
			work.stream(Tier.HIGH, "", OTHERS, 0, this.seconds, (t) -> 0.2);
			work.stream(Tier.MIDDLE, "small customers", OTHERS, 0, this.seconds, (t) -> 0.25);
			work.stream(Tier.MIDDLE, "large customer", ONE, 40, this.seconds, (t) -> 2.0);
			work.stream(Tier.LOW, "", OTHERS, 0, this.seconds, (t) -> 0.1);
		}

	};

	static final int WARM_UP_SECONDS = 30;

	private static final int[] ALL = { 0, Site.CUSTOMERS };

	private static final int[] ONE = { 0, 1 };

	private static final int[] OTHERS = { 1, Site.CUSTOMERS };

	final String label;

	final int seconds;

	final boolean faulty;

	Scenario(String label, int seconds, boolean faulty) {
		this.label = label;
		this.seconds = seconds;
		this.faulty = faulty;
	}

	/**
	 * Find a scenario by its name.
	 * @param label the name
	 * @return the scenario, if there is one
	 */
	public static Optional<Scenario> ofLabel(String label) {
		return Arrays.stream(values()).filter((scenario) -> scenario.label.equals(label)).findFirst();
	}

	abstract void load(Workload work);

	void faults(World world) {
	}

	private static void base(Workload work, double seconds) {
		work.stream(Tier.HIGH, "", ALL, 0, seconds, (t) -> 0.25);
		work.stream(Tier.MIDDLE, "", ALL, 0, seconds, (t) -> 0.3);
		work.stream(Tier.LOW, "", ALL, 0, seconds, (t) -> 0.15);
	}

}
