package org.acaciacourse.core.balance;

/**
 * How many entry VMs may be spending the shared retry budget. Control counts those that
 * poll, and right after a start or an election it has heard of a few only: a VM that took
 * the first count for the whole would spend the part of all others, and all VMs do so at
 * the same moment, when failures are many. So the count falls only after a while, and
 * begins high.
 * <p>
 * Not thread safe: belongs to one event loop.
 */
public final class SharerCount {

	/**
	 * More than any system has today; an entry that just started spends its ratio only.
	 */
	private static final int AT_START = 100;

	/** The window of the budget and the time in which all entries are heard of again. */
	private static final long HOLD_NANOS = 15_000_000_000L;

	private int highest = AT_START;

	private long heardAt;

	/**
	 * Begin to count.
	 * @param now the time
	 */
	public SharerCount(long now) {
		this.heardAt = now;
	}

	/**
	 * Take a count.
	 * @param count the entry VMs that control knows of
	 * @param now the time
	 * @return how many VMs to share with
	 */
	public int told(int count, long now) {
		if (count >= this.highest || now - this.heardAt > HOLD_NANOS) {
			this.highest = Math.max(1, count);
			this.heardAt = now;
		}
		return this.highest;
	}

}
