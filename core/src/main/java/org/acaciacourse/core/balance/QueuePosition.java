package org.acaciacourse.core.balance;

/**
 * The position of a request in the queue of an engine, relative to the other requests
 * that wait there.
 */
public enum QueuePosition {

	/** Less urgent requests may wait there, which the request overtakes. */
	OVERTAKES_OTHERS(true, false),

	/** Nothing less urgent waits there except deferred requests. */
	BEHIND_OTHERS(true, true),

	/** The request will be late in any case, and all others overtake it. */
	DEFERRED(false, false),

	/**
	 * The request is over its customer's share, and the others of its priorities overtake
	 * it.
	 */
	OVER_SHARE(false, false);

	private final boolean delaysOthers;

	private final boolean indicatesPrefillRate;

	QueuePosition(boolean delaysOthers, boolean indicatesPrefillRate) {
		this.delaysOthers = delaysOthers;
		this.indicatesPrefillRate = indicatesPrefillRate;
	}

	/**
	 * Return whether others wait for the request, so that its work is reported to the
	 * other entry VMs.
	 * @return whether it counts as waiting work
	 */
	boolean delaysOthers() {
		return this.delaysOthers;
	}

	/**
	 * Return whether all that waited when the request was sent was prefilled before it. A
	 * request that overtakes others is prefilled soon, whatever the queue. If its wait
	 * counted, an engine with a burst of long prompts and some short ones would appear to
	 * prefill four times as fast, and no prompt would be considered late.
	 * @return whether its wait indicates the prefill rate of the engine
	 */
	boolean indicatesPrefillRate() {
		return this.indicatesPrefillRate;
	}

}
