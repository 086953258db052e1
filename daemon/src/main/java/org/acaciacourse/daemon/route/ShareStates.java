package org.acaciacourse.daemon.route;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

import org.acaciacourse.core.balance.OptionalMechanism;
import org.acaciacourse.core.share.CustomerShares;
import org.acaciacourse.core.share.PoolShares;
import org.acaciacourse.daemon.telemetry.DecisionLog;
import org.acaciacourse.daemon.telemetry.LogEvent;

/**
 * The shares of customers in the pools of an entry VM, where the routing policy has them.
 * <p>
 * Not thread safe: belongs to the event loop.
 */
final class ShareStates {

	private final PoolStates pools;

	private final CustomerShares works = new CustomerShares();

	private final Map<String, PoolShares> shares = new HashMap<>();

	/** What was last logged of each pool. */
	private final Map<String, Logged> logged = new HashMap<>();

	ShareStates(PoolStates pools) {
		this.pools = pools;
	}

	// The work of customers in all pools, which digests tell.
	CustomerShares works() {
		return this.works;
	}

	boolean isOn() {
		return this.pools.policy().isOn(OptionalMechanism.CUSTOMER_SHARES, false);
	}

	/**
	 * Return the shares of a pool.
	 * @param pool its name
	 * @return the shares, if customers have any there
	 */
	Optional<PoolShares> of(String pool) {
		return (isOn()) ? Optional.of(this.shares.computeIfAbsent(pool, this::create)) : Optional.empty();
	}

	private PoolShares create(String pool) {
		PoolStates.State state = this.pools.state(pool);
		return new PoolShares(this.works, pool,
				() -> state.balancer().poolLoad(state.shortestTarget(), System.nanoTime()),
				ThreadLocalRandom.current().nextLong(), System.nanoTime());
	}

	/**
	 * Return whether a pool is short of capacity.
	 * @param pool its name
	 * @param now the time
	 * @return whether customers have shares there and it is divided now
	 */
	boolean isShort(String pool, long now) {
		return isOn() && this.shares.containsKey(pool) && this.shares.get(pool).division(now).isShort();
	}

	/**
	 * Log the pools in which a shortage began or ended, or the first customer exceeded
	 * its share or the last one no longer does; called periodically.
	 */
	void log() {
		long now = System.nanoTime();
		this.shares.forEach((pool, state) -> {
			boolean isShort = isShort(pool, now);
			PoolShares.Division division = state.division(now);
			Logged next = new Logged(isShort, isShort && division.customersOver() > 0);
			if (!next.equals(this.logged.getOrDefault(pool, Logged.NONE))) {
				this.logged.put(pool, next);
				Long level = (Double.isFinite(division.level())) ? Math.round(division.level()) : null;
				DecisionLog.write(LogEvent.CUSTOMER_SHARES, pool, isShort, level, Math.round(division.capacity()),
						division.works().size(), division.customersOver(), state.overShare());
			}
		});
	}

	private record Logged(boolean isShort, boolean anyOver) {

		private static final Logged NONE = new Logged(false, false);

	}

}
