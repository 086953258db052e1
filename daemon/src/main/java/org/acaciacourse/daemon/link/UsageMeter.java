package org.acaciacourse.daemon.link;

import java.util.concurrent.TimeUnit;

import org.acaciacourse.core.usage.RunUsage;
import org.acaciacourse.core.usage.UsageCounter;
import org.acaciacourse.core.usage.UsageWindows;
import org.acaciacourse.daemon.codec.UsageCodec;
import org.acaciacourse.protocol.generated.PollReply;
import org.acaciacourse.protocol.generated.PollRequest;

/**
 * Counts the requests of this entry VM that endpoints have begun, in windows of the time
 * of day that control tells: this VM's own clock may be off. Between two replies, and
 * while there are none, the monotonic clock continues the time that was told last.
 * <p>
 * Thread safe.
 */
public final class UsageMeter {

	private final UsageCounter counter = new UsageCounter();

	private final UsageWindows windows;

	/** Time of day less monotonic clock; null until control has told the time. */
	private volatile Long offsetMillis;

	/**
	 * Create a meter.
	 * @param windows the windows
	 */
	public UsageMeter(UsageWindows windows) {
		this.windows = windows;
	}

	/**
	 * Count a request that an endpoint has begun just now.
	 * @param customer the customer
	 */
	public void began(String customer) {
		this.counter.count(customer, this.windows.windowAt(timeMillis()));
	}

	private long timeMillis() {
		Long offset = this.offsetMillis;
		return (offset != null) ? offset + monotonicMillis() : System.currentTimeMillis();
	}

	private static long monotonicMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	/**
	 * Add this VM's time of day and the counts that have changed.
	 * @param poll takes them
	 * @param since the position that the control VM has, 0 for all counts
	 * @return the position after this poll
	 */
	long writeTo(PollRequest poll, long since) {
		// Read before the counts, which are complete up to then.
		long completeUntil = timeMillis();
		UsageCounter.Changes changes = this.counter.changesSince(since);
		poll.setWallMillis(System.currentTimeMillis())
			.setUsageCompleteUntil(completeUntil)
			.setUsage(UsageCodec.encode(changes.windows()));
		return changes.position();
	}

	/**
	 * Add all counts, to which none will be added.
	 * @param poll takes them
	 */
	void writeLastTo(PollRequest poll) {
		writeTo(poll, 0);
		poll.setUsageCompleteUntil(RunUsage.ENDED);
	}

	/**
	 * Handle what control tells of the time and of windows that are fixed.
	 * @param reply the reply
	 */
	void replied(PollReply reply) {
		if (reply.isSetTimeMillis()) {
			this.offsetMillis = reply.getTimeMillis() - monotonicMillis();
		}
		if (reply.isSetUsageFrozenThrough()) {
			this.counter.frozen(reply.getUsageFrozenThrough());
		}
	}

	/**
	 * Return how many requests were counted.
	 * @return the number since the start
	 */
	public long requests() {
		return this.counter.requests();
	}

	/**
	 * Return how many requests began in a window that was fixed before they were counted.
	 * @return the number since the start
	 */
	public long lateRequests() {
		return this.counter.lateRequests();
	}

}
