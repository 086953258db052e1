package org.acaciacourse.core.scaling;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * The demand that all entry VMs told, as one control VM knows it.
 * <p>
 * Immutable and thread safe.
 *
 * @param pools the demand by the names of the pools
 * @param complete whether every live entry VM has told its demand recently. The sum of an
 * incomplete demand may be too low.
 */
public record FleetDemand(Map<String, PoolDemand> pools, boolean complete) {

	/** Nothing is known. */
	public static final FleetDemand NONE = new FleetDemand(Map.of(), false);

	public FleetDemand {
		pools = Map.copyOf(pools);
	}

	/**
	 * Return the demand for a pool.
	 * @param pool the name of the pool
	 * @return the demand
	 */
	public PoolDemand of(String pool) {
		return this.pools.getOrDefault(Objects.requireNonNull(pool, "pool"), PoolDemand.NONE);
	}

	/** Adds up what entry VMs told. Not thread safe. */
	public static final class Sum {

		private final Map<String, PoolDemand> pools = new HashMap<>();

		private boolean complete = true;

		/**
		 * Add the demand of an entry VM.
		 * @param told the demand by the names of the pools
		 */
		public void add(Map<String, PoolDemand> told) {
			told.forEach((pool, demand) -> this.pools.merge(pool, demand, PoolDemand::plus));
		}

		/** The demand of an entry VM is missing or out of date. */
		public void missing() {
			this.complete = false;
		}

		/**
		 * Return the sum.
		 * @return the demand of all entry VMs that were added
		 */
		public FleetDemand total() {
			return new FleetDemand(this.pools, this.complete);
		}

	}

}
