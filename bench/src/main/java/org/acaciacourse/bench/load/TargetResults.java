package org.acaciacourse.bench.load;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * What was measured at one target. Times are counted from when the request should have
 * been sent, so that a stall shows in all requests that it held up (coordinated omission,
 * Tene 2013).
 * <p>
 * Thread safe.
 */
public final class TargetResults {

	private static final int DIGITS = 3;

	private final Histogram firstToken = new ConcurrentHistogram(DIGITS);

	private final Histogram gap = new ConcurrentHistogram(DIGITS);

	private final Histogram whole = new ConcurrentHistogram(DIGITS);

	private final LongAdder sent = new LongAdder();

	private final LongAdder answered = new LongAdder();

	private final LongAdder cut = new LongAdder();

	private final LongAdder tokens = new LongAdder();

	private final Map<String, LongAdder> errors = new ConcurrentSkipListMap<>();

	private final String label;

	/**
	 * Create empty results.
	 * @param label the name of the target in the report
	 */
	public TargetResults(String label) {
		this.label = label;
	}

	void sent() {
		this.sent.increment();
	}

	void firstToken(long nanos) {
		this.firstToken.recordValue(Math.max(0, nanos));
	}

	void gap(long nanos) {
		this.gap.recordValue(Math.max(0, nanos));
	}

	void tokens(int count) {
		this.tokens.add(count);
	}

	void whole(long nanos) {
		this.answered.increment();
		this.whole.recordValue(Math.max(0, nanos));
	}

	void cut() {
		this.cut.increment();
	}

	void error(String code) {
		this.errors.computeIfAbsent(code, (name) -> new LongAdder()).increment();
	}

	/**
	 * Return the number of tokens received.
	 * @return the number of tokens
	 */
	public long tokenCount() {
		return this.tokens.sum();
	}

	/**
	 * Return a percentile of the time to the first token.
	 * @param percentile the percentile, 0 to 100
	 * @return the time in milliseconds
	 */
	public double firstTokenMillis(double percentile) {
		return millis(this.firstToken, percentile);
	}

	/**
	 * Return a percentile of the time between tokens.
	 * @param percentile the percentile, 0 to 100
	 * @return the time in milliseconds
	 */
	public double gapMillis(double percentile) {
		return millis(this.gap, percentile);
	}

	/**
	 * Return the mean time between tokens.
	 * @return the time in milliseconds
	 */
	public double meanGapMillis() {
		return this.gap.getMean() / TimeUnit.MILLISECONDS.toNanos(1);
	}

	/**
	 * Return the report on this target.
	 * @param seconds the time that the load lasted
	 * @return the lines of the report
	 */
	public String report(double seconds) {
		String counts = String.format("%-8s sent %d answered %d cut %d errors %s tokens/s %.0f%n", this.label,
				this.sent.sum(), this.answered.sum(), this.cut.sum(), this.errors, this.tokens.sum() / seconds);
		return counts + line("first token", this.firstToken) + line("between tokens", this.gap)
				+ line("whole answer", this.whole);
	}

	private String line(String name, Histogram times) {
		return String.format("%-8s %-14s ms p50 %.3f p90 %.3f p99 %.3f p99.9 %.3f max %.3f mean %.3f%n", this.label,
				name, millis(times, 50), millis(times, 90), millis(times, 99), millis(times, 99.9), millis(times, 100),
				times.getMean() / TimeUnit.MILLISECONDS.toNanos(1));
	}

	private static double millis(Histogram times, double percentile) {
		return times.getValueAtPercentile(percentile) / (double) TimeUnit.MILLISECONDS.toNanos(1);
	}

}
