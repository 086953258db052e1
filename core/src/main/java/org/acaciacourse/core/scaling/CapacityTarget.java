package org.acaciacourse.core.scaling;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;

import org.acaciacourse.core.route.Pool;
import org.acaciacourse.core.route.PoolScaling;

/**
 * How many endpoints of one pool are to be ordered in each data centre, by the demand.
 * Each control VM observes the demand, so that the next one to order knows the rates of
 * an endpoint; only the one that orders plans.
 * <p>
 * The plan follows the need upwards at once and downwards only after it was lower for
 * half a minute, so that it does not follow waves of demand: what is ordered during a
 * wave serves after it.
 * <p>
 * Invariants: without known rates there is no plan; the planned number never falls while
 * the demand is not known completely; it is within the bounds of the pool in each data
 * centre.
 * <p>
 * Not thread safe.
 */
final class CapacityTarget {

	/** A need that is higher by less is within the reserve. */
	static final double NOTABLE_RISE = 1.1;

	/** A need that is lower by less is not worth a change. */
	static final double NOTABLE_FALL = 0.9;

	private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

	/**
	 * Below that part of an order, the endpoints of a data centre do not all serve yet.
	 */
	private static final double SERVING_PART = 0.9;

	private final double reserve;

	private final EndpointRates rates;

	private final NeedHistory history = new NeedHistory();

	private final Map<String, PacedOrder> orders = new TreeMap<>();

	private long observedAt;

	private boolean observed;

	private boolean complete;

	private boolean restarted;

	private double need;

	/** The need that the present orders are made for. */
	private double basis;

	private long loweredAt;

	/** What the split was made for: a tick usually changes nothing. */
	private SplitInput splitInput;

	private Map<String, Integer> split = Map.of();

	CapacityTarget(Pool pool, double reserve) {
		this.rates = new EndpointRates(pool.engineTokens());
		this.reserve = reserve;
	}

	/**
	 * Observe the demand. Has no effect more often than once a second.
	 * @param demand the demand of the pool
	 * @param isComplete whether all entry VMs have told theirs
	 * @param serving the number of endpoints that serve
	 * @param provision the number of endpoints that count as enough for the demand of the
	 * first seconds, if it is known
	 * @param now the monotonic time in nanoseconds
	 */
	void observe(PoolDemand demand, boolean isComplete, int serving, OptionalInt provision, long now) {
		if (this.observed && now - this.observedAt < SECOND_NANOS) {
			return;
		}
		// A gap would make seconds in a row of others.
		boolean gap = this.observed && now - this.observedAt > 2 * SECOND_NANOS;
		this.observed = true;
		this.observedAt = now;
		this.complete = isComplete;
		if (!isComplete || gap) {
			this.history.interrupted(now);
		}
		if (isComplete) {
			this.rates.observe(demand, serving, provision);
		}
		if (this.rates.isKnown()) {
			this.need = this.rates.need(demand, serving);
			this.history.add(this.need, now);
		}
	}

	/**
	 * Return the need at the last observation.
	 * @return the number of endpoints, 0 if it is not known
	 */
	double need() {
		return this.need;
	}

	/**
	 * Return the highest need within half a minute.
	 * @param now the monotonic time in nanoseconds
	 * @return the number of endpoints, 0 if it is not known
	 */
	double peak(long now) {
		return this.history.peak(now);
	}

	/**
	 * The demand is not known now.
	 * @param now the monotonic time in nanoseconds
	 */
	void unknown(long now) {
		this.complete = false;
		this.history.interrupted(now);
	}

	/** Another control VM may have ordered since the last plan. */
	void restart() {
		this.restarted = true;
	}

	/**
	 * Plan the orders.
	 * @param scaling the bounds and the prices
	 * @param initial the number of endpoints by data centre that a first plan begins with
	 * @param serving the number of endpoints that serve by data centre
	 * @param unavailable the data centres that supply no endpoints
	 * @param now the monotonic time in nanoseconds
	 * @return the number of endpoints by data centre, empty if the orders can't follow
	 * the demand
	 */
	Map<String, Integer> plan(PoolScaling scaling, Map<String, Integer> initial, Map<String, Integer> serving,
			Set<String> unavailable, long now) {
		if (!this.rates.isKnown()) {
			return Map.of();
		}
		if (!this.orders.keySet().equals(initial.keySet())) {
			begin(initial, now);
		}
		else if (this.restarted) {
			this.orders.forEach(
					(dataCentre, order) -> order.adopt(Math.min(scaling.max(), serving.getOrDefault(dataCentre, 0))));
		}
		this.restarted = false;
		updateBasis(now);
		boolean mayLower = this.complete && this.history.isComplete(now) && unavailable.isEmpty()
				&& doAllServe(serving);
		Map<String, Integer> supplied = new TreeMap<>();
		unavailable.forEach((dataCentre) -> supplied.put(dataCentre, serving.getOrDefault(dataCentre, 0)));
		boolean lacking = this.orders.values().stream().mapToInt(PacedOrder::count).sum() < peak(now);
		Map<String, Integer> planned = new TreeMap<>();
		SplitInput input = new SplitInput((int) Math.ceil(this.basis), scaling, initial.keySet(), supplied);
		if (!input.equals(this.splitInput)) {
			this.split = CapacitySplit.of(input.need, this.reserve, scaling, input.dataCentres, supplied);
			this.splitInput = input;
		}
		this.split.forEach((dataCentre, wanted) -> {
			PacedOrder order = this.orders.get(dataCentre);
			order.follow(Math.min(scaling.max(), wanted), mayLower, lacking, now);
			planned.put(dataCentre, Math.min(scaling.max(), order.count()));
		});
		return planned;
	}

	private void begin(Map<String, Integer> initial, long now) {
		this.orders.clear();
		initial.forEach((dataCentre, count) -> this.orders.put(dataCentre, new PacedOrder(count)));
		this.basis = peak(now);
		this.loweredAt = now;
	}

	private void updateBasis(long now) {
		double peak = peak(now);
		if (peak > this.basis * NOTABLE_RISE) {
			this.basis = peak;
		}
		else if (peak < this.basis * NOTABLE_FALL && this.complete && this.history.isComplete(now)
				&& now - this.loweredAt >= PacedOrder.WINDOW_NANOS) {
			this.basis = Math.max(peak, this.basis * NOTABLE_FALL);
			this.loweredAt = now;
		}
	}

	private boolean doAllServe(Map<String, Integer> serving) {
		return this.orders.entrySet()
			.stream()
			.allMatch((order) -> serving.getOrDefault(order.getKey(), 0) >= order.getValue().count() * SERVING_PART);
	}

	private record SplitInput(int need, PoolScaling scaling, Set<String> dataCentres, Map<String, Integer> supplied) {

		private SplitInput {
			dataCentres = Set.copyOf(dataCentres);
			supplied = Map.copyOf(supplied);
		}

	}

}
