package org.acaciacourse.core.scaling;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The number of endpoints that a pool needed within the last half minute.
 * <p>
 * Not thread safe.
 */
final class NeedHistory {

	/** Covers two waves of demand of 15 s. */
	static final long SPAN_NANOS = Duration.ofSeconds(30).toNanos();

	private final Deque<Sample> samples = new ArrayDeque<>();

	private long beganAt = Long.MIN_VALUE;

	void add(double need, long now) {
		if (this.beganAt == Long.MIN_VALUE) {
			this.beganAt = now;
		}
		// Keeps only samples that may become the highest: the deque falls.
		while (!this.samples.isEmpty() && this.samples.getLast().need <= need) {
			this.samples.removeLast();
		}
		this.samples.addLast(new Sample(need, now));
	}

	/**
	 * The need is not known now, so that the span begins anew; its peak is kept.
	 * @param now the monotonic time in nanoseconds
	 */
	void interrupted(long now) {
		this.beganAt = now;
	}

	/**
	 * Return the highest need within the span.
	 * @param now the monotonic time in nanoseconds
	 * @return the number of endpoints, 0 if none is known
	 */
	double peak(long now) {
		while (!this.samples.isEmpty() && now - this.samples.getFirst().at > SPAN_NANOS) {
			this.samples.removeFirst();
		}
		return (this.samples.isEmpty()) ? 0 : this.samples.getFirst().need;
	}

	/**
	 * Return whether the need is known for the whole span.
	 * @param now the monotonic time in nanoseconds
	 * @return whether the peak is that of a whole span
	 */
	boolean isComplete(long now) {
		return this.beganAt != Long.MIN_VALUE && now - this.beganAt >= SPAN_NANOS;
	}

	private record Sample(double need, long at) {
	}

}
