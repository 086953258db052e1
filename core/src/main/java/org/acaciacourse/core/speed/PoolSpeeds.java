package org.acaciacourse.core.speed;

import java.util.Arrays;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The speeds of the endpoints of one pool relative to its median. The time that a piece
 * of work takes is compared with the mean time of the same kind at the other endpoints,
 * with their speeds taken into account, so that a VM that sends most requests to slow
 * endpoints doesn't take them for usual ones.
 * <p>
 * Invariant: an endpoint of which nothing is known has the speed 1.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class PoolSpeeds {

	/** An endpoint that no longer states its pace has another release by then. */
	private static final long STATED_NANOS = 600_000_000_000L;

	/** Speeds change within seconds, and an update takes time for each endpoint. */
	private static final long UPDATE_INTERVAL_NANOS = 500_000_000L;

	/**
	 * How many observations at the speed of the median an endpoint starts with: single
	 * slow requests are common.
	 */
	private static final double FIRST_OBSERVATIONS = 4;

	/** Endpoints with less do not count for the median. */
	private static final double MIN_WEIGHT = 0.5;

	/** Before there are as many times of a kind, there is nothing to compare with. */
	private static final double MIN_COMPARED = 4;

	private final SpeedTable table;

	private final Map<Integer, EndpointSpeed> endpoints = new HashMap<>();

	private final Map<WorkKind, DecayingMean> usualTimes = new EnumMap<>(WorkKind.class);

	private Predicate<Boolean> switchedOn = (paceStated) -> false;

	private boolean everStated;

	private long statedAt;

	private boolean inUse;

	private long updatedAt = Long.MIN_VALUE / 2;

	/** For the median, kept because an update is part of a request. */
	private double[] observed = {};

	/**
	 * Create the speeds of a pool.
	 * @param table what all VMs observed
	 */
	public PoolSpeeds(SpeedTable table) {
		this.table = table;
		for (WorkKind kind : WorkKind.values()) {
			this.usualTimes.put(kind, new DecayingMean());
		}
	}

	/**
	 * Set what tells whether speeds are in use.
	 * @param next returns it, given whether endpoints of the pool state their pace
	 */
	public void switchedOn(Predicate<Boolean> next) {
		this.switchedOn = next;
		this.inUse = next.test(this.everStated);
	}

	/**
	 * Return the speed of an endpoint, which is added at the first call.
	 * @param id the id of the endpoint in digests
	 * @return its speed
	 */
	public EndpointSpeed endpoint(int id) {
		return this.endpoints.computeIfAbsent(id, (unknown) -> new EndpointSpeed(this, id));
	}

	/**
	 * Drop the endpoints that have left the pool.
	 * @param present the ids of the others
	 */
	public void retain(Collection<Integer> present) {
		this.endpoints.keySet().retainAll(present);
	}

	void paceStated(long now) {
		this.everStated = true;
		this.statedAt = now;
		if (!this.inUse) {
			this.inUse = this.switchedOn.test(true);
		}
	}

	/**
	 * Return whether endpoints of the pool state how long work takes on their machines.
	 * @param now the time
	 * @return whether one has in the last ten minutes
	 */
	public boolean isPaceStated(long now) {
		this.everStated = this.everStated && now - this.statedAt < STATED_NANOS;
		return this.everStated;
	}

	/**
	 * Return whether speeds are in use in the pool.
	 * @return whether they were at the last update
	 */
	public boolean isInUse() {
		return this.inUse;
	}

	/**
	 * Update the speeds, if they are in use and the last update is not recent; called for
	 * each request.
	 * @param now the time
	 */
	public void update(long now) {
		if (now - this.updatedAt < UPDATE_INTERVAL_NANOS) {
			return;
		}
		this.updatedAt = now;
		this.inUse = this.switchedOn.test(isPaceStated(now));
		if (this.inUse) {
			this.endpoints.values().forEach((endpoint) -> this.table.readInto(endpoint, now));
			double median = median();
			this.endpoints.values().forEach((endpoint) -> endpoint.update(speed(endpoint, median)));
		}
	}

	private static double speed(EndpointSpeed endpoint, double median) {
		double certainty = endpoint.weight() / (endpoint.weight() + FIRST_OBSERVATIONS);
		return Math.exp(SpeedStatement.bounded((endpoint.logSpeed() - median) * certainty));
	}

	// The logarithm of the median speed of the endpoints that were observed.
	private double median() {
		if (this.observed.length < this.endpoints.size()) {
			this.observed = new double[this.endpoints.size()];
		}
		int count = 0;
		for (EndpointSpeed endpoint : this.endpoints.values()) {
			if (endpoint.weight() >= MIN_WEIGHT) {
				this.observed[count] = endpoint.logSpeed();
				count++;
			}
		}
		Arrays.sort(this.observed, 0, count);
		return (count > 0) ? (this.observed[(count - 1) / 2] + this.observed[count / 2]) / 2 : 0;
	}

	void took(EndpointSpeed endpoint, WorkKind kind, double units, double nanos, long now) {
		double time = Math.log(nanos / units);
		DecayingMean usual = this.usualTimes.get(kind);
		if (usual.weight(now) >= MIN_COMPARED) {
			this.table.observe(endpoint.id(), usual.mean() - time, now);
		}
		usual.add(time + Math.log(endpoint.learned()), 1, now);
	}

	void forget(EndpointSpeed endpoint) {
		this.table.forget(endpoint.id());
	}

	/**
	 * Return the range of the speeds, for the metrics.
	 * @return the range at the last update
	 */
	public Range range() {
		double lowest = this.endpoints.values().stream().mapToDouble(EndpointSpeed::learned).min().orElse(1);
		double highest = this.endpoints.values().stream().mapToDouble(EndpointSpeed::learned).max().orElse(1);
		return new Range(this.inUse, lowest, highest);
	}

	/**
	 * The range of the speeds of a pool, relative to its median.
	 *
	 * @param inUse whether speeds are in use in the pool
	 * @param lowest the lowest speed, 1 while speeds are not in use
	 * @param highest the highest speed, 1 while speeds are not in use
	 */
	public record Range(boolean inUse, double lowest, double highest) {
	}

}
