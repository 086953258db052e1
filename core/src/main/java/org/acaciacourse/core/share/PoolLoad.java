package org.acaciacourse.core.share;

/**
 * The load of a pool's usable endpoints, as far as it tells whether the pool is short of
 * capacity.
 * <p>
 * Immutable and thread safe.
 *
 * @param waitingWork the prefill work that waits at them, in tokens
 * @param workInTarget the work that they do within the shortest target of the pool's
 * routes, in tokens; 0 if it isn't known, as for plain endpoints
 * @param running the requests there
 * @param slots the requests that they serve concurrently
 * @param vms the number of entry VMs that send requests there
 */
public record PoolLoad(long waitingWork, double workInTarget, int running, int slots, int vms) {

	/**
	 * With nearly all slots taken, requests queue at some endpoints while others still
	 * have a free slot.
	 */
	private static final double FULL_SHARE = 0.9;

	/**
	 * Requests that wait for half of the shortest target are still in time, and an engine
	 * has work during a lull.
	 */
	private static final double HARMLESS_SHARE = 0.5;

	public PoolLoad {
		if (vms < 1) {
			throw new IllegalArgumentException("at least this VM sends requests, got " + vms);
		}
	}

	/**
	 * Return the work that waits beyond what delays no request too much. Requests over
	 * share don't count, as the others overtake them.
	 * @param meanWork the mean work of a request
	 * @return the work in tokens
	 */
	double backlog(double meanWork) {
		return Math.max(0, (this.workInTarget > 0) ? this.waitingWork - HARMLESS_SHARE * this.workInTarget
				: (this.running - this.slots) * meanWork);
	}

	/**
	 * Return whether the pool is short of capacity. A pool without usable endpoints isn't
	 * short: no order of the requests helps.
	 * @return whether its requests have to be divided among customers
	 */
	public boolean isShort() {
		boolean queued = this.workInTarget > 0 && this.waitingWork > this.workInTarget;
		return this.slots > 0 && (queued || this.running >= FULL_SHARE * this.slots);
	}

}
