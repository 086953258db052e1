package org.acaciacourse.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;

import org.acaciacourse.core.dispatch.RequestInfo;
import org.acaciacourse.core.model.RequestClass;
import org.acaciacourse.core.model.Tier;

/**
 * Makes the requests of an experiment from its seed. Arrivals are Poisson processes whose
 * rate is given as the share of the capacity that they need; lengths are log-normal, so
 * that a few answers are many times as long as the median.
 * <p>
 * Not thread safe: one experiment runs on one thread.
 */
final class Workload {

	/** Seconds of an engine for one token of a full batch, and for one of a prompt. */
	private static final double TOKEN_SECONDS = 0.030 / 8;

	private static final double PROMPT_SECONDS = 0.000125;

	private static final int PREFIXES = 40;

	final List<Job> jobs = new ArrayList<>();

	private final Site site;

	private final SplittableRandom random;

	private long nextId = 1;

	Workload(Site site, long seed) {
		this.site = site;
		this.random = new SplittableRandom(seed);
	}

	/**
	 * Add a Poisson stream.
	 * @param tier the tier
	 * @param group the name for reports, empty for the class
	 * @param customers the customers from and to, exclusive
	 * @param from the start in seconds
	 * @param until the end in seconds
	 * @param share the share of the capacity at a second
	 */
	void stream(Tier tier, String group, int[] customers, double from, double until, DoubleUnaryOperator share) {
		double perShare = this.site.engines / Lengths.of(tier).meanCost();
		double time = from;
		double peak = peak(from, until, share);
		while (true) {
			time -= StrictMath.log(1 - this.random.nextDouble()) / (peak * perShare);
			if (time >= until) {
				return;
			}
			if (this.random.nextDouble() * peak <= share.applyAsDouble(time)) {
				add(tier, group, customers, time);
			}
		}
	}

	private static double peak(double from, double until, DoubleUnaryOperator share) {
		double peak = 1e-9;
		for (double time = from; time <= until; time += 1) {
			peak = Math.max(peak, share.applyAsDouble(time));
		}
		return peak;
	}

	// Add one request of a random customer of a range.
	Job add(Tier tier, String group, int[] customers, double seconds) {
		int customer = customers[0] + this.random.nextInt(customers[1] - customers[0]);
		Lengths lengths = Lengths.of(tier);
		int length = lengths.draw(this.random);
		int prompt = lengths.leastPrompt + this.random.nextInt(lengths.leastPrompt * 2);
		long prefix = 1 + this.random.nextInt(PREFIXES);
		return add(tier, group, customer, seconds, length, prompt, prefix, this.random.nextLong(), false);
	}

	// Add a request that crashes the engine that runs it.
	void addPoison(Tier tier, double seconds, long content) {
		add(tier, "poison", 0, seconds, 100, 500, 0, content, true);
	}

	private Job add(Tier tier, String group, int customer, double seconds, int length, int prompt, long prefix,
			long content, boolean poison) {
		RequestClass requestClass = this.site.requestClass(tier);
		long at = (long) (seconds * Timeline.SECOND);
		RequestInfo info = new RequestInfo(this.nextId++, Site.customerName(customer), requestClass.name(),
				Site.ENDPOINT_SET, content, prefix, prompt, 0, false, at + requestClass.deadline().toNanos());
		String name = (group.isEmpty()) ? requestClass.name() : group;
		Job job = new Job(info, requestClass, name, length, at, poison);
		this.jobs.add(job);
		return job;
	}

	/** The lengths of a tier. */
	enum Lengths {

		HIGH(70, 0.9, 600, 400),

		MIDDLE(350, 0.8, 3_000, 1_200),

		LOW(500, 0.8, 4_000, 2_000);

		private final double median;

		private final double sigma;

		private final int most;

		private final int leastPrompt;

		Lengths(double median, double sigma, int most, int leastPrompt) {
			this.median = median;
			this.sigma = sigma;
			this.most = most;
			this.leastPrompt = leastPrompt;
		}

		static Lengths of(Tier tier) {
			return values()[tier.ordinal()];
		}

		int draw(SplittableRandom random) {
			double length = this.median * StrictMath.exp(this.sigma * normal(random));
			return (int) Math.max(1, Math.min(this.most, length));
		}

		// Return the seconds of an engine that a request takes on average.
		double meanCost() {
			double mean = this.median * StrictMath.exp(this.sigma * this.sigma / 2);
			return mean * TOKEN_SECONDS + 2 * this.leastPrompt * PROMPT_SECONDS;
		}

		// Box and Muller 1958.
		private static double normal(SplittableRandom random) {
			double radius = StrictMath.sqrt(-2 * StrictMath.log(1 - random.nextDouble()));
			return radius * StrictMath.cos(2 * StrictMath.PI * random.nextDouble());
		}

	}

}
