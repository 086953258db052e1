package org.acaciacourse.core.scaling;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.OptionalInt;

/**
 * What one endpoint of a pool serves within a second, learned from the demand that was
 * served in time: at first the mean of the first ten seconds, then the largest demand
 * that each endpoint had for five seconds in a row.
 * <p>
 * Nothing is learned from seconds in which callers were refused or served late: their
 * demand may be more than the endpoints can bear.
 * <p>
 * Invariant: a rate never falls.
 * <p>
 * Not thread safe.
 */
final class EndpointRates {

	/** The seconds whose demand the endpoints that exist at first count as enough for. */
	static final int FIRST_SECONDS = 10;

	/** A peak that is shorter may be borne by queues rather than by rates. */
	private static final int SUSTAINED_SECONDS = 5;

	/**
	 * One in twenty requests may be refused or late for reasons other than capacity, such
	 * as a lost endpoint.
	 */
	private static final int TOLERATED_DIVISOR = 20;

	private final long cacheTokens;

	private final Deque<Second> recent = new ArrayDeque<>();

	private double[] rates = new double[0];

	/**
	 * Create rates that are not known yet.
	 * @param cacheTokens the tokens that an endpoint can hold, 0 if it is no engine
	 */
	EndpointRates(long cacheTokens) {
		this.cacheTokens = cacheTokens;
	}

	/**
	 * Return whether a demand was served as callers need it.
	 * @param demand the demand of a second
	 * @return whether hardly any request was refused or late
	 */
	static boolean isServed(PoolDemand demand) {
		return (demand.refused() + demand.late()) * TOLERATED_DIVISOR <= demand.begun();
	}

	/**
	 * Learn from the demand of another second.
	 * @param demand the demand
	 * @param serving the number of endpoints
	 * @param provision the number of endpoints that existed at first, if it is known
	 */
	void observe(PoolDemand demand, int serving, OptionalInt provision) {
		boolean first = !isKnown();
		if (serving == 0 || !isServed(demand) || (first && demand.begun() == 0)) {
			this.recent.clear();
			return;
		}
		this.recent.add(new Second(resources(demand), serving));
		int seconds = (first) ? FIRST_SECONDS : SUSTAINED_SECONDS;
		while (this.recent.size() > seconds) {
			this.recent.remove();
		}
		if (this.recent.size() < seconds) {
			return;
		}
		if (!first) {
			learn();
		}
		else if (provision.isPresent()) {
			begin(provision.getAsInt());
		}
	}

	private void begin(int enough) {
		double[] learned = new double[this.recent.getLast().resources.length];
		Arrays.setAll(learned,
				(i) -> this.recent.stream().mapToDouble((second) -> second.resources[i]).average().orElse(0) / enough);
		// A rate of zero would make any later demand endless.
		if (Arrays.stream(learned).allMatch((rate) -> rate > 0)) {
			this.rates = learned;
			this.recent.clear();
		}
	}

	private void learn() {
		Arrays.setAll(this.rates, (i) -> Math.max(this.rates[i],
				this.recent.stream().mapToDouble((second) -> second.resources[i] / second.serving).min().orElse(0)));
	}

	private double[] resources(PoolDemand demand) {
		return (this.cacheTokens > 0) ? new double[] { demand.prefillTokens(), demand.outputTokens() }
				: new double[] { demand.begun() };
	}

	boolean isKnown() {
		return this.rates.length > 0;
	}

	/**
	 * Return how many endpoints a demand needs. Requests that were refused count as the
	 * others.
	 * @param demand the demand of a second
	 * @param serving the number of endpoints that serve it
	 * @return the number of endpoints
	 */
	double need(PoolDemand demand, int serving) {
		double[] resources = resources(demand);
		double need = 0;
		double asked = (demand.begun() > 0) ? 1 + (double) demand.refused() / demand.begun() : 1;
		for (int i = 0; i < resources.length; i++) {
			need = Math.max(need, asked * resources[i] / this.rates[i]);
		}
		if (this.cacheTokens > 0) {
			need = Math.max(need, (double) demand.heldTokens() / this.cacheTokens);
		}
		boolean lacking = demand.refused() * TOLERATED_DIVISOR > demand.begun();
		return (lacking) ? Math.max(need, serving * CapacityTarget.NOTABLE_RISE + 1) : need;
	}

	private record Second(double[] resources, int serving) {
	}

}
