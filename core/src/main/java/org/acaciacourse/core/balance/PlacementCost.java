package org.acaciacourse.core.balance;

import net.openhft.hashing.LongHashFunction;

/**
 * The cost of placing a request at an endpoint under a policy, in prompt tokens of an
 * endpoint of the pool's median speed: how long the request waits there, and how much it
 * delays the requests that are there. Invariant: where the speeds of endpoints are not in
 * use, all have the speed 1, which changes no cost.
 * <p>
 * Immutable and thread safe.
 */
final class PlacementCost {

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	/**
	 * The prefill work of a typical prompt, by which the number of waiting requests is
	 * estimated.
	 */
	private static final double TYPICAL_PROMPT_WORK = 10_000;

	private final RoutingPolicy policy;

	private final double runningCost;

	private final double waitingCost;

	private final double recomputeFactor;

	private final double secondaryFactor;

	private final double failureCost;

	private final double connectionCost;

	private final double lateAnswerCost;

	private final double delayFactor;

	private final double briefElsewhereCost;

	private final double longElsewhereCost;

	private final double shortElsewhereCost;

	PlacementCost(RoutingPolicy policy) {
		this.policy = policy;
		this.runningCost = policy.value(RoutingParameter.RUNNING_COST);
		this.waitingCost = policy.value(RoutingParameter.WAITING_COST);
		this.recomputeFactor = valueIfOn(RoutingMechanism.PRICE_OF_READING_ANEW, RoutingParameter.ANEW_FACTOR, 1);
		this.secondaryFactor = policy.value(RoutingParameter.SECOND_FACTOR);
		this.failureCost = valueIfOn(RoutingMechanism.PRICE_OF_FAILURES, RoutingParameter.FAILURE_COST, 0);
		this.connectionCost = valueIfOn(RoutingMechanism.PRICE_OF_CONNECTIONS, RoutingParameter.CONNECTION_COST, 0);
		this.lateAnswerCost = valueIfOn(RoutingMechanism.PRICE_OF_LATE_ANSWERS, RoutingParameter.LATE_ANSWER_COST, 0);
		this.delayFactor = policy.value(RoutingParameter.BESIDE_FACTOR);
		this.briefElsewhereCost = policy.value(RoutingParameter.BRIEF_ELSEWHERE_COST);
		this.longElsewhereCost = policy.value(RoutingParameter.LONG_ELSEWHERE_COST);
		this.shortElsewhereCost = valueIfOn(RoutingMechanism.SHORT_BESIDE_BRIEF, RoutingParameter.SHORT_ELSEWHERE_COST,
				this.longElsewhereCost);
	}

	private double valueIfOn(RoutingMechanism mechanism, RoutingParameter parameter, double otherwise) {
		return (this.policy.isOn(mechanism)) ? this.policy.value(parameter) : otherwise;
	}

	/**
	 * Return the part of the cost that results from the load and the failures of an
	 * endpoint and from the work on the prompt there.
	 * @param load the endpoint
	 * @param request the request
	 * @param cached the tokens of the prompt that the endpoint has in its cache
	 * @param role the role of the endpoint for the shared parts
	 * @param now the time
	 * @return the cost
	 */
	double of(EndpointLoad load, Placement request, long cached, HomeRole role, long now) {
		double speed = load.speed().expected(now);
		double ahead = load.waitingWork() / speed;
		return ahead + prefillCost(request.shape(), cached, role, ahead) / speed + runningCost(load, speed, now)
				+ failureCost(load, now) + tieBreak(load, request.salt());
	}

	// Prefilling a shared part for the first time can't be avoided, but at an endpoint
	// other than its home it is prefilled once more. Any prefill delays all requests that
	// wait there: when all queues are long, prefilling parts in many places makes them
	// even longer, until engines do little else.
	private double prefillCost(PromptShape shape, long cached, HomeRole role, double ahead) {
		double requestsDelayed = ahead / TYPICAL_PROMPT_WORK;
		return (recomputeFactor(role) + requestsDelayed) * shape.work(cached);
	}

	private double recomputeFactor(HomeRole role) {
		return switch (role) {
			case PRIMARY -> 1;
			case SECONDARY -> this.secondaryFactor;
			case NONE -> this.recomputeFactor;
		};
	}

	// An endpoint with few slots is full after few requests, so a running request costs
	// at least the cost of a waiting one divided by the number of slots. One at half the
	// speed is full with half of the requests.
	private double runningCost(EndpointLoad load, double speed, long now) {
		double slots = load.endpoint().slots();
		int inFlight = load.running(now);
		double over = Math.max(0, inFlight + 1 - slots * Math.min(1, speed));
		return (Math.max(this.runningCost, this.waitingCost / slots) * inFlight
				+ this.waitingCost * (over + load.waiting(now))) / speed;
	}

	private double failureCost(EndpointLoad load, long now) {
		boolean suspect = this.policy.isOn(RoutingMechanism.SUSPECTS) && load.isSuspect(now);
		return this.failureCost * ((suspect) ? 1 : load.failureRate(now));
	}

	/**
	 * Return the cost of placing a brief request on an engine for long prompts.
	 * @return the cost
	 */
	double briefElsewhereCost() {
		return this.briefElsewhereCost;
	}

	/**
	 * Return the cost of placing another request on an engine that is reserved for brief
	 * ones.
	 * @param work the work on the prompt
	 * @param harmless the largest work that makes no brief response late
	 * @return the cost
	 */
	double reservedEngineCost(long work, long harmless) {
		return (work <= harmless) ? this.shortElsewhereCost : this.longElsewhereCost;
	}

	/**
	 * Return the cost of the delay that a prompt causes to running brief responses.
	 * @param brief the number of brief responses
	 * @param work the work on the prompt
	 * @param harmless the largest work that makes no brief response late
	 * @return the cost
	 */
	double briefDelayCost(int brief, long work, long harmless) {
		return brief * ((work > harmless) ? this.lateAnswerCost : this.delayFactor * work);
	}

	/**
	 * Return the cost of a new connection.
	 * @return the cost
	 */
	double connectionCost() {
		return this.connectionCost;
	}

	// Returns a cost of less than one token. Without it, VMs that know nothing of each
	// other's requests would all choose the first of equal endpoints.
	private static double tieBreak(EndpointLoad load, long salt) {
		long mixed = HASH.hashLong(salt ^ load.hash());
		return (mixed >>> 11) * 0x1.0p-53;
	}

}
