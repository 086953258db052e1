package org.acaciacourse.core.speed;

import java.util.OptionalDouble;

/**
 * The speed of one endpoint of a pool, for the choice among them, and what it last stated
 * of its machine. Invariant: the speed is within 0.2 and 5, and exactly 1 while speeds
 * are not in use in the pool.
 * <p>
 * Not thread safe: belongs to one {@link PoolSpeeds}.
 */
public final class EndpointSpeed {

	/** A machine is slowed down for some tenths of a second at a time. */
	private static final long PACE_VALIDITY_NANOS = 300_000_000L;

	/**
	 * The part of the stated pace that counts for the choice, as an exponent: a request
	 * takes longer than a slow moment lasts, so that only a part of it falls into one.
	 */
	private static final double PACE_SHARE = 0.5;

	/** The stated pace as usual. */
	private static final double USUAL_PERCENT = 100;

	private final PoolSpeeds pool;

	private final Integer id;

	private double logSpeed;

	private double weight;

	private double speed = 1;

	private double pace = 1;

	private double paceFactor = 1;

	private long pacedAt = Long.MIN_VALUE / 2;

	EndpointSpeed(PoolSpeeds pool, int id) {
		this.pool = pool;
		this.id = id;
	}

	Integer id() {
		return this.id;
	}

	/**
	 * Set what all VMs observed.
	 * @param nextLogSpeed the logarithm of the observed speed
	 * @param nextWeight the number of observations, older ones counted in part
	 */
	void observed(double nextLogSpeed, double nextWeight) {
		this.logSpeed = nextLogSpeed;
		this.weight = nextWeight;
	}

	double logSpeed() {
		return this.logSpeed;
	}

	double weight() {
		return this.weight;
	}

	/**
	 * Record how long work takes on the endpoint's machine at this moment.
	 * @param percent the time in percent of the usual one
	 * @param now the time
	 */
	public void paceStated(int percent, long now) {
		this.pace = percent / USUAL_PERCENT;
		this.paceFactor = Math.pow(this.pace, PACE_SHARE);
		this.pacedAt = now;
		this.pool.paceStated(now);
	}

	// How long work takes there compared with other moments, if that is known now.
	OptionalDouble pace(long now) {
		return (isPaceFresh(now)) ? OptionalDouble.of(this.pace) : OptionalDouble.empty();
	}

	private boolean isPaceFresh(long now) {
		return now - this.pacedAt <= PACE_VALIDITY_NANOS;
	}

	void update(double next) {
		this.speed = next;
	}

	/**
	 * Return the learned speed.
	 * @return the speed relative to the median of the pool, 1 while speeds are not in use
	 */
	public double learned() {
		return (this.pool.isInUse()) ? this.speed : 1;
	}

	/**
	 * Return the speed to be expected in the next moments: the learned one and a part of
	 * the stated pace.
	 * @param now the time
	 * @return the speed relative to the median of the pool, 1 while speeds are not in use
	 */
	public double expected(long now) {
		if (!this.pool.isInUse()) {
			return 1;
		}
		return (isPaceFresh(now)) ? this.speed / this.paceFactor : this.speed;
	}

	/**
	 * Begin to observe a request at the endpoint.
	 * @param work the request
	 * @param now the time
	 * @return the observation
	 */
	public SpeedObservation observe(SpeedObservation.Work work, long now) {
		return new SpeedObservation(this, work, now);
	}

	void took(WorkKind kind, double units, double nanos, long now) {
		this.pool.took(this, kind, units, nanos, now);
	}

	boolean isObserved() {
		return this.pool.isInUse();
	}

	/** Drop what is known of the endpoint, after a new start of it. */
	public void forget() {
		this.pool.forget(this);
		this.speed = 1;
		this.pacedAt = Long.MIN_VALUE / 2;
	}

}
