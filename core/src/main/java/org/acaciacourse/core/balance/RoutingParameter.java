package org.acaciacourse.core.balance;

import java.util.Arrays;
import java.util.Optional;

import org.acaciacourse.core.ini.Range;

/**
 * The parameters of a {@link RoutingPolicy} with their unit, default and permitted range.
 * Costs are in tokens of prompts that wait to be prefilled, the unit of the cost of an
 * endpoint.
 * <p>
 * Immutable and thread safe.
 */
public enum RoutingParameter {

	/**
	 * The cost of each running request for one that joins it: each makes a batch step
	 * about 0.18 ms longer, an engine prefills some 60 tokens per millisecond, and a
	 * target covers some twenty steps.
	 */
	RUNNING_COST("running-cost", "tokens", 220, 0, 100_000),

	/** The cost of each request that waits at the endpoint. */
	WAITING_COST("waiting-cost", "tokens", 4_000, 0, 1_000_000),

	/**
	 * The cost of prefilling a prompt where its shared part is not cached, as a multiple
	 * of its work. An engine's cache has room for little more than its shared parts
	 * besides the running requests, so that a second copy of a part evicts another one,
	 * which is then prefilled again. With 3 instead of 10, a day of twice the usual load
	 * on thirteen engines prefilled 2.3 million tokens again instead of 1.4 million.
	 */
	ANEW_FACTOR("anew-factor", "times", 10, 1, 1_000),

	/**
	 * The same at the secondary home of the part, and by how much the queue of the
	 * primary must be longer for the secondary to prefill the part once more. A part has
	 * at most two homes, so that other parts stay in the cache.
	 */
	SECOND_FACTOR("second-factor", "times", 3, 1, 1_000),

	/**
	 * By how much the queue of the primary home of a part must be longer, as a multiple
	 * of the work on the prompt, for the secondary to prefill a part that neither has
	 * cached. No prefill is wasted there, but entry VMs that do not know of each other's
	 * choice may have both homes prefill it.
	 */
	NEW_PART_FACTOR("new-part-factor", "times", 0.25, 0, 1_000),

	/**
	 * The cost of a failure rate of 1: more than any queue, so that a failing endpoint is
	 * chosen only when no other is left.
	 */
	FAILURE_COST("failure-cost", "tokens", 60_000, 0, 10_000_000),

	/**
	 * The cost of a new connection: two round trips and the endpoint's work on it, some
	 * milliseconds. It is less than that of one running request, so that it only decides
	 * between about equally busy endpoints.
	 */
	CONNECTION_COST("connection-cost", "tokens", 200, 0, 1_000_000),

	/**
	 * The cost of placing a brief request on an engine for long prompts: the work on two
	 * or three of those, for which it is likely to wait.
	 */
	BRIEF_ELSEWHERE_COST("brief-elsewhere-cost", "tokens", 40_000, 0, 10_000_000),

	/**
	 * The cost of placing a long prompt on an engine for brief requests: more than the
	 * work that ever waits at its own engines while any of them is alive, as each such
	 * prompt delays some ten brief responses of higher value.
	 */
	LONG_ELSEWHERE_COST("long-elsewhere-cost", "tokens", 500_000, 0, 100_000_000),

	/**
	 * The cost of placing a short prompt on an engine for brief requests, in addition to
	 * the delay that it causes there: the work that must wait elsewhere before mixing the
	 * kinds is worthwhile.
	 */
	SHORT_ELSEWHERE_COST("short-elsewhere-cost", "tokens", 10_000, 0, 10_000_000),

	/**
	 * The cost of each brief response that a prompt makes late: half a second of work,
	 * which is about how late the prompt itself is elsewhere in a burst.
	 */
	LATE_ANSWER_COST("late-answer-cost", "tokens", 30_000, 0, 10_000_000),

	/**
	 * The cost of each running brief response that a prompt delays without making it
	 * late, as a fraction of the work on that prompt.
	 */
	BESIDE_FACTOR("beside-factor", "times", 0.5, 0, 100),

	/**
	 * The work that may be done between two events, for each millisecond of the target
	 * gap: engines prefill some 50 tokens per millisecond, and batch steps take the
	 * larger part of the gap.
	 */
	HARMLESS_WORK("harmless-work", "tokens per ms", 20, 0, 10_000),

	/**
	 * How many requests that other entry VMs sent and have not reported yet may go to the
	 * endpoint that looks best to all: two of them delay each other by at most the gap of
	 * one event.
	 */
	UNTOLD_REQUESTS("untold-requests", "requests", 2, 0.1, 1_000),

	/**
	 * Up to how many peers entry VMs send digests directly; with more they report to
	 * relays. Relays forward each use of a prompt part to their group, which takes 7
	 * Mbit/s at 600 requests a second.
	 */
	MOST_DIRECT_PEERS("most-direct-peers", "entries", 1_000, 1, 100_000),

	/** Targets within this factor of the shortest one are those of brief requests. */
	NEARLY_SHORTEST("nearly-shortest", "times", 1.25, 1, 100),

	/** The fraction of engines for brief requests until their need is known. */
	FIRST_BRIEF_SHARE("first-brief-share", "fraction of the engines", 0.25, 0, 0.5),

	/**
	 * The fraction of the slots that brief requests may fill before they get another
	 * engine, whatever waits elsewhere. A batch step grows with the number of requests in
	 * it, so that beyond this a little more load fills up the batch.
	 */
	MOST_FILLED("most-filled", "fraction of the slots", 0.9, 0.05, 1),

	/**
	 * The fraction of the slots that brief requests may fill on one engine less for that
	 * engine to be released. Lower than {@link #MOST_FILLED}, as requests take longer on
	 * fewer engines.
	 */
	FILLED_AFTER("filled-after", "fraction of the slots", 0.6, 0, 1),

	/**
	 * The fraction of the slots that brief requests fill before they get an engine that
	 * no others need.
	 */
	LEAST_FILLED("least-filled", "fraction of the slots", 0.25, 0, 1),

	/**
	 * The work waiting at each engine for long prompts at which these need another
	 * engine: that of a typical prompt.
	 */
	PRESSED_WORK("pressed-work", "tokens", 10_000, 0, 10_000_000),

	/** The waiting work below which long prompts do not need all of their engines. */
	CALM_WORK("calm-work", "tokens", 4_000, 0, 10_000_000),

	/**
	 * The time without data from an engine with running requests after which it is
	 * considered silent. Such an engine normally sends many events in this time.
	 */
	ENGINE_SILENCE("engine-silence", "ms", 1_500, 100, 60_000),

	/**
	 * The longest time from the first event of a stream until its caller gives it up:
	 * longer than callers wait. It may be several times the timeout of the route, which
	 * bounds one request only and may have been longer when the stream began.
	 */
	STREAM_LIFE("stream-life", "s", 120, 1, 3_600);

	private final String label;

	private final String unit;

	private final double defaultValue;

	private final Range range;

	RoutingParameter(String label, String unit, double defaultValue, double min, double max) {
		this.label = label;
		this.unit = unit;
		this.defaultValue = defaultValue;
		this.range = new Range(min, max);
	}

	/**
	 * Find a parameter by its key in a settings file.
	 * @param label the key
	 * @return the parameter, if there is one
	 */
	public static Optional<RoutingParameter> ofLabel(String label) {
		return Arrays.stream(values()).filter((parameter) -> parameter.label.equals(label)).findFirst();
	}

	/**
	 * Return the name used in settings files and logs.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Return the value that applies when a policy does not set one.
	 * @return the default
	 */
	public double defaultValue() {
		return this.defaultValue;
	}

	/**
	 * Return whether a value is within the range.
	 * @param value the value
	 * @return whether it may be used
	 */
	public boolean permits(double value) {
		return this.range.permits(value);
	}

	/**
	 * Return the range with its unit as human-readable text.
	 * @return the range
	 */
	public String range() {
		return this.range + " " + this.unit;
	}

}
