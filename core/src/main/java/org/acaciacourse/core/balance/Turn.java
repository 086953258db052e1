package org.acaciacourse.core.balance;

/**
 * When an engine turns to a request, seen against what else waits there.
 */
public enum Turn {

	/** Less urgent requests may wait there, which it goes before. */
	BEFORE_OTHERS(true, false),

	/** Nothing less urgent waits, but what is deferred. */
	AFTER_OTHERS(true, true),

	/** It is late in any case, and all others go before it. */
	DEFERRED(false, false);

	private final boolean delaysOthers;

	private final boolean indicatesPrefillRate;

	Turn(boolean delaysOthers, boolean indicatesPrefillRate) {
		this.delaysOthers = delaysOthers;
		this.indicatesPrefillRate = indicatesPrefillRate;
	}

	/**
	 * Return whether others wait for it, so that its work is told to the other entries.
	 * @return whether it counts as work that waits
	 */
	boolean delaysOthers() {
		return this.delaysOthers;
	}

	/**
	 * Return whether all that waited when it was sent was read before it. What goes
	 * before others is read soon, however much waits; taken for pace, a burst of long
	 * prompts with some short ones among them looks like an engine that reads four times
	 * as fast, and no prompt looks late.
	 * @return whether its wait tells how fast the engine reads
	 */
	boolean indicatesPrefillRate() {
		return this.indicatesPrefillRate;
	}

}
