package org.acaciacourse.core.balance;

import net.openhft.hashing.LongHashFunction;

/**
 * What it costs to put a request at an endpoint under a policy, in prompt tokens: what
 * the request waits there, and what those wait longer that are there.
 * <p>
 * Immutable and thread safe.
 */
final class PlacementCost {

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	/** The work of a usual prompt, by which the requests that wait are estimated. */
	private static final double USUAL_WORK = 10_000;

	private final RoutingPolicy policy;

	private final double running;

	private final double waiting;

	private final double anew;

	private final double second;

	private final double failure;

	private final double connection;

	private final double lateAnswer;

	private final double beside;

	private final double briefElsewhere;

	private final double longElsewhere;

	private final double shortElsewhere;

	PlacementCost(RoutingPolicy policy) {
		this.policy = policy;
		this.running = policy.value(RoutingParameter.RUNNING_COST);
		this.waiting = policy.value(RoutingParameter.WAITING_COST);
		this.anew = price(RoutingMechanism.PRICE_OF_READING_ANEW, RoutingParameter.ANEW_FACTOR, 1);
		this.second = policy.value(RoutingParameter.SECOND_FACTOR);
		this.failure = price(RoutingMechanism.PRICE_OF_FAILURES, RoutingParameter.FAILURE_COST, 0);
		this.connection = price(RoutingMechanism.PRICE_OF_CONNECTIONS, RoutingParameter.CONNECTION_COST, 0);
		this.lateAnswer = price(RoutingMechanism.PRICE_OF_LATE_ANSWERS, RoutingParameter.LATE_ANSWER_COST, 0);
		this.beside = policy.value(RoutingParameter.BESIDE_FACTOR);
		this.briefElsewhere = policy.value(RoutingParameter.BRIEF_ELSEWHERE_COST);
		this.longElsewhere = policy.value(RoutingParameter.LONG_ELSEWHERE_COST);
		this.shortElsewhere = price(RoutingMechanism.SHORT_BESIDE_BRIEF, RoutingParameter.SHORT_ELSEWHERE_COST,
				this.longElsewhere);
	}

	private double price(RoutingMechanism mechanism, RoutingParameter parameter, double otherwise) {
		return (this.policy.isOn(mechanism)) ? this.policy.value(parameter) : otherwise;
	}

	/**
	 * Return the cost of the load and the health of an endpoint, and of the work there.
	 * @param load the endpoint
	 * @param asked the request
	 * @param held the tokens of the prompt that the endpoint holds
	 * @param home what the endpoint is to the shared parts
	 * @param now the time
	 * @return the cost
	 */
	double of(EndpointLoad load, Placement asked, long held, HomeOfParts home, long now) {
		long ahead = load.waitingWork();
		return ahead + work(asked.shape(), held, home, ahead) + running(load, now) + failures(load, now)
				+ tieBreak(load, asked.salt());
	}

	// Reading a shared part for the first time can't be avoided. Where it does not belong
	// it is read once more. Whatever is read delays all that wait there: when all queues
	// are long, reading parts in many places makes them longer still, until engines do
	// little else.
	private double work(PromptShape shape, long held, HomeOfParts home, long ahead) {
		double delayed = ahead / USUAL_WORK;
		return (anew(home) + delayed) * shape.work(held);
	}

	private double anew(HomeOfParts home) {
		return switch (home) {
			case FIRST -> 1;
			case SECOND -> this.second;
			case NONE -> this.anew;
		};
	}

	// A service with few slots is full with few requests: a request there costs as much
	// as a full batch shared by its slots.
	private double running(EndpointLoad load, long now) {
		double slots = load.endpoint().slots();
		int runs = load.running(now);
		double over = Math.max(0, runs + 1 - slots);
		return Math.max(this.running, this.waiting / slots) * runs + this.waiting * (over + load.waiting(now));
	}

	private double failures(EndpointLoad load, long now) {
		boolean suspect = this.policy.isOn(RoutingMechanism.SUSPECTS) && load.isSuspect(now);
		return this.failure * ((suspect) ? 1 : load.failureRate(now));
	}

	/**
	 * Return the cost of putting a brief request where long prompts belong.
	 * @return the cost
	 */
	double briefElsewhere() {
		return this.briefElsewhere;
	}

	/**
	 * Return the cost of putting a prompt where brief requests belong.
	 * @param work the work on the prompt
	 * @param harmless the work that makes no brief answer late
	 * @return the cost
	 */
	double elsewhere(long work, long harmless) {
		return (work <= harmless) ? this.shortElsewhere : this.longElsewhere;
	}

	/**
	 * Return the cost of putting a prompt beside brief answers that run.
	 * @param brief the brief answers
	 * @param work the work on the prompt
	 * @param harmless the work that makes no brief answer late
	 * @return the cost
	 */
	double beside(int brief, long work, long harmless) {
		return brief * ((work > harmless) ? this.lateAnswer : this.beside * work);
	}

	/**
	 * Return the cost of a new connection.
	 * @return the cost
	 */
	double connection() {
		return this.connection;
	}

	// Below one token: VMs that know nothing of each other's requests should not all take
	// the first of equal endpoints.
	private static double tieBreak(EndpointLoad load, long salt) {
		long mixed = HASH.hashLong(salt ^ load.hash());
		return (mixed >>> 11) * 0x1.0p-53;
	}

}
