package org.acaciacourse.core.balance;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Selects the engines that are reserved for brief requests, which are those with the
 * tightest latency target of the pool. The reserved engines are the first staying ones in
 * the order of a hash of their instance, so that all entry VMs select the same ones.
 * Their number follows the brief requests that run at all entry VMs. Each reserved engine
 * is missing for long prompts, and one too few makes all brief responses late, so that no
 * fixed share suits more than one mix of requests.
 * <p>
 * On a day with bursts of both kinds, a fixed quarter (two of six engines) kept 48% of
 * the long prompts and 89% of the brief requests on time; one reserved engine kept 79%
 * and 68%.
 * <p>
 * Invariant: at most half of the engines are reserved once the pool is divided.
 * <p>
 * Not thread safe: belongs to one {@link PoolBalancer}.
 */
final class BriefEngines {

	/** With fewer endpoints a crash would leave one of the two kinds without any. */
	private static final int MIN_ENDPOINTS_TO_DIVIDE = 4;

	/** Time constant of the smoothed waiting work: prompts arrive in clusters. */
	private static final double SMOOTHING_NANOS = 500_000_000;

	/** Digests of the other entry VMs take some hundred milliseconds to show a change. */
	private static final long MIN_RESIZE_INTERVAL_NANOS = 500_000_000L;

	/**
	 * Bounds how often the division is updated: an update for every request would cost
	 * time without benefit.
	 */
	private static final long MIN_UPDATE_INTERVAL_NANOS = 20_000_000L;

	/**
	 * The number of engines changes by at most this fraction (1/8) of the pool at a time,
	 * because requests take longer on fewer engines and the effect shows only later. With
	 * steps of one engine, a pool of a hundred lags behind a burst for its whole
	 * duration.
	 */
	private static final int RESIZE_DIVISOR = 8;

	private RoutingPolicy policy = RoutingPolicy.DEFAULT;

	private List<EndpointLoad> enginesByHash = List.of();

	private final Set<EndpointLoad> reserved = new HashSet<>();

	// 0 until there are endpoints.
	private int targetSize;

	private double smoothedWaitingWork;

	private int runningBrief;

	private long updatedAt = Long.MIN_VALUE / 2;

	private long resizedAt = Long.MIN_VALUE / 2;

	/**
	 * Set the policy that determines the number of reserved engines.
	 * @param next the policy
	 * @param loads the endpoints
	 */
	void policy(RoutingPolicy next, Collection<EndpointLoad> loads) {
		this.policy = next;
		this.targetSize = 0;
		divide(loads);
	}

	/**
	 * Divide the endpoints of a pool.
	 * @param loads the endpoints
	 */
	void divide(Collection<EndpointLoad> loads) {
		this.enginesByHash = loads.stream()
			.filter((load) -> !load.endpoint().leaving())
			.sorted(Comparator.comparingLong(EndpointLoad::hash))
			.toList();
		if (this.targetSize == 0) {
			this.targetSize = (int) Math.max(1,
					Math.round(this.enginesByHash.size() * value(RoutingParameter.FIRST_BRIEF_SHARE)));
		}
		this.targetSize = Math.min(this.targetSize, this.enginesByHash.size() / 2);
		this.reserved.clear();
		if (this.enginesByHash.size() >= MIN_ENDPOINTS_TO_DIVIDE && this.policy.isOn(RoutingMechanism.BRIEF_ENGINES)) {
			this.enginesByHash.stream().limit(this.targetSize).forEach(this.reserved::add);
		}
	}

	// Replaces lost and resting engines by the next ones in hash order. Otherwise, brief
	// requests would be spread over all engines that serve long prompts, and be late
	// there.
	private void selectReserved(long now) {
		boolean useStandIns = this.policy.isOn(RoutingMechanism.BRIEF_STAND_INS);
		this.reserved.clear();
		for (EndpointLoad load : this.enginesByHash) {
			if (this.reserved.size() < this.targetSize && (!useStandIns || isHealthy(load, now))) {
				this.reserved.add(load);
			}
		}
		if (this.reserved.isEmpty()) {
			this.reserved.add(this.enginesByHash.get(0));
		}
	}

	private boolean isHealthy(EndpointLoad load, long now) {
		return !load.isLost() && !load.isResting(now)
				&& !(this.policy.isOn(RoutingMechanism.SUSPECTS) && load.isSuspect(now));
	}

	/**
	 * Adapt the number of reserved engines to the requests that run and wait at all entry
	 * VMs.
	 * @param now the time
	 */
	void update(long now) {
		if (this.reserved.isEmpty() || now - this.updatedAt < MIN_UPDATE_INTERVAL_NANOS) {
			return;
		}
		selectReserved(now);
		measureLoad(now);
		if (now - this.resizedAt < MIN_RESIZE_INTERVAL_NANOS
				|| !this.policy.isOn(RoutingMechanism.BRIEF_ENGINES_FOLLOW_LOAD)) {
			return;
		}
		double maxFilled = value((this.smoothedWaitingWork < value(RoutingParameter.CALM_WORK))
				? RoutingParameter.LEAST_FILLED : RoutingParameter.MOST_FILLED);
		if (this.runningBrief > maxFilled * slotsOf(this.targetSize)) {
			int next = Math.max(this.targetSize + 1, Math.min(this.targetSize + maxResize(), enginesNeeded(maxFilled)));
			resize(Math.min(this.enginesByHash.size() / 2, next), now);
		}
		else if (this.smoothedWaitingWork > value(RoutingParameter.PRESSED_WORK) && this.targetSize > 1
				&& this.runningBrief < value(RoutingParameter.FILLED_AFTER) * slotsOf(this.targetSize - 1)) {
			int next = Math.max(this.targetSize - maxResize(), enginesNeeded(value(RoutingParameter.FILLED_AFTER)));
			resize(Math.max(1, Math.min(this.targetSize - 1, next)), now);
		}
	}

	private int maxResize() {
		return Math.max(1, this.enginesByHash.size() / RESIZE_DIVISOR);
	}

	// The number of engines whose slots the running brief requests fill to the given
	// fraction.
	private int enginesNeeded(double filled) {
		double slotsEach = (double) slotsOf(this.enginesByHash.size()) / this.enginesByHash.size();
		return (int) Math.ceil(this.runningBrief / (filled * slotsEach));
	}

	private double value(RoutingParameter parameter) {
		return this.policy.value(parameter);
	}

	private void measureLoad(long now) {
		double next = this.enginesByHash.stream()
			.filter((load) -> !this.reserved.contains(load))
			.mapToLong(EndpointLoad::waitingWork)
			.average()
			.orElse(0);
		this.smoothedWaitingWork += (next - this.smoothedWaitingWork)
				* (1 - Math.exp((this.updatedAt - now) / SMOOTHING_NANOS));
		this.updatedAt = now;
		this.runningBrief = this.enginesByHash.stream().mapToInt(EndpointLoad::briefRunning).sum();
	}

	private void resize(int next, long now) {
		if (next != this.targetSize) {
			this.targetSize = next;
			this.resizedAt = now;
			selectReserved(now);
		}
	}

	private int slotsOf(int engines) {
		return this.enginesByHash.stream().limit(engines).mapToInt((load) -> load.endpoint().slots()).sum();
	}

	boolean contains(EndpointLoad load) {
		return this.reserved.contains(load);
	}

	/**
	 * Return the division for the log.
	 * @return the division as of the last update
	 */
	Division division() {
		return new Division(this.reserved.size(), this.runningBrief, Math.round(this.smoothedWaitingWork));
	}

	/**
	 * Return whether the pool is divided.
	 * @return false if it has too few endpoints
	 */
	boolean isDivided() {
		return !this.reserved.isEmpty();
	}

}
