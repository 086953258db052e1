package org.acaciacourse.core.balance;

/**
 * The cost of having brief requests and others on one engine. An engine prefills prompts
 * between the tokens of all its running responses: a long prompt delays the events of
 * each brief response beyond their target gap.
 * <p>
 * Not thread safe: belongs to one {@link PoolBalancer}.
 */
final class MixingCost {

	/**
	 * The default target gap: the longest gap between events that current routes aim for.
	 */
	private static final long DEFAULT_GAP_MILLIS = 150;

	private final BriefEngines briefEngines;

	private RoutingPolicy policy = RoutingPolicy.DEFAULT;

	private PlacementCost cost = new PlacementCost(this.policy);

	private long shortestGapMillis = DEFAULT_GAP_MILLIS;

	/** The largest work that makes no brief response late. */
	private long harmlessWork = harmlessWork();

	MixingCost(BriefEngines briefEngines) {
		this.briefEngines = briefEngines;
	}

	void policy(RoutingPolicy next, PlacementCost nextCost) {
		this.policy = next;
		this.cost = nextCost;
		this.harmlessWork = harmlessWork();
	}

	void shortestGap(long millis) {
		this.shortestGapMillis = millis;
		this.harmlessWork = harmlessWork();
	}

	private long harmlessWork() {
		return Math.round(this.shortestGapMillis * this.policy.value(RoutingParameter.HARMLESS_WORK));
	}

	/**
	 * Return the cost of placing a request where the engines are divided.
	 * @param load the engine
	 * @param request the request
	 * @param cached the tokens of the prompt that the engine has in its cache
	 * @return the cost in prompt tokens
	 */
	double of(EndpointLoad load, Placement request, long cached) {
		boolean forBrief = this.briefEngines.contains(load);
		if (request.brief()) {
			return (forBrief) ? 0 : this.cost.briefElsewhereCost();
		}
		long work = request.shape().work(cached);
		double delayCost = this.cost.briefDelayCost(load.briefRunning(), work, this.harmlessWork);
		return (forBrief) ? delayCost + this.cost.reservedEngineCost(work, this.harmlessWork) : delayCost;
	}

}
