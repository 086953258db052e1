package org.acaciacourse.daemon.route;

import java.util.OptionalInt;

import org.acaciacourse.core.balance.PoolBalancer;
import org.acaciacourse.core.speed.PoolSpeeds;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * Logs what has changed in how a pool is used: its division, its limit on refusals, and
 * whether the choice of an endpoint takes account of speeds.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class PoolLog {

	private final String pool;

	private final PoolBalancer balancer;

	private int engines;

	private OptionalInt refusalLimit = OptionalInt.empty();

	private boolean speedsInUse;

	PoolLog(String pool, PoolBalancer balancer) {
		this.pool = pool;
		this.balancer = balancer;
	}

	/** Log the division of the engines if it has changed. */
	void updateDivision() {
		this.balancer.division().filter((next) -> next.engines() != this.engines).ifPresent((next) -> {
			this.engines = next.engines();
			DecisionLog.write(LogEvent.DIVISION, this.pool, next.engines(), next.running(), next.waitingWork());
		});
	}

	/**
	 * Log the limit on refusals and the use of speeds if they have changed.
	 * @param now the time
	 */
	void update(long now) {
		OptionalInt limit = this.balancer.refusalLimit(now);
		if (!limit.equals(this.refusalLimit)) {
			this.refusalLimit = limit;
			DecisionLog.write(LogEvent.REFUSAL_LIMIT, this.pool, limit.orElse(0));
		}
		PoolSpeeds speeds = this.balancer.speeds();
		speeds.update(now);
		if (speeds.isInUse() != this.speedsInUse) {
			this.speedsInUse = speeds.isInUse();
			DecisionLog.write(LogEvent.ENDPOINT_SPEED, this.pool, this.speedsInUse, speeds.isPaceStated(now));
		}
	}

}
